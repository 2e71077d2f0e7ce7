package history

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// A file consists of a magic line followed by frames. A frame consists of the payload's
// length and checksum (four bytes each) and the payload, a compressed JSON list of events.
const (
	magic            = "ravenport membership history 1\n"
	checksumOffset   = 4
	frameHeaderBytes = 8
	// maxPayloadBytes bounds a payload's length, so that a damaged length field does not
	// cause a large allocation.
	maxPayloadBytes = 1 << 20
	// maxDecompressedBytes bounds a payload's decompressed size.
	maxDecompressedBytes = 16 << 20
	// encoderWindowBytes is the size of the compressor's window.
	encoderWindowBytes = zstd.MinWindowSize << 6
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Causes in a DamageError. The DamageError's message adds the prefix "history: ".
var (
	errNotHistory       = errors.New("not a membership history")
	errTruncated        = errors.New("the last frame is incomplete")
	errFrameLength      = errors.New("a frame's length exceeds the maximum")
	errChecksumMismatch = errors.New("a frame's checksum does not match")
)

// codec compresses and decompresses payloads. It is not safe for concurrent use.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCodec() (*codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(encoderWindowBytes))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &codec{encoder, decoder}, nil
}

func (c *codec) close() {
	_ = c.encoder.Close() // the encoder has no writer, so there is nothing to flush
	c.decoder.Close()
}

// appendFrame appends a frame with the events to data, the bytes of a file.
func (c *codec) appendFrame(data []byte, events []Event) ([]byte, error) {
	text, err := json.Marshal(events)
	if err != nil {
		return data, fmt.Errorf("history: %w", err)
	}
	payload := c.encoder.EncodeAll(text, nil)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, checksumTable))
	return append(data, payload...), nil
}

// parse decodes the bytes of a file up to the first damage. intactBytes is the number of
// bytes before the damage.
func (c *codec) parse(data []byte) (events []Event, intactBytes int, damage error) {
	if len(data) == 0 {
		return nil, 0, nil
	}
	if !bytes.HasPrefix(data, []byte(magic)) {
		return nil, 0, errNotHistory
	}
	intactBytes = len(magic)
	for intactBytes < len(data) {
		frameEvents, size, err := c.parseFrame(data[intactBytes:])
		if err != nil {
			return events, intactBytes, err
		}
		events = append(events, frameEvents...)
		intactBytes += size
	}
	return events, intactBytes, nil
}

// parseFrame decodes the first frame of data. size is the frame's length in bytes.
func (c *codec) parseFrame(data []byte) (events []Event, size int, err error) {
	if len(data) < frameHeaderBytes {
		return nil, 0, errTruncated
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxPayloadBytes {
		return nil, 0, errFrameLength
	}
	size = frameHeaderBytes + length
	if len(data) < size {
		return nil, 0, errTruncated
	}
	payload := data[frameHeaderBytes:size]
	if crc32.Checksum(payload, checksumTable) != binary.BigEndian.Uint32(data[checksumOffset:]) {
		return nil, 0, errChecksumMismatch
	}
	text, err := c.decoder.DecodeAll(payload, nil)
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(text, &events); err != nil {
		return nil, 0, err
	}
	return events, size, nil
}
