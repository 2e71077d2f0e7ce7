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

// A file is its magic line and then frames: the payload's length and checksum, four
// bytes each, and the payload, which is a compressed list of events in JSON.
const (
	magic       = "ravenport membership history 1\n"
	frameHeader = 8
	// maxPayload bounds a frame (bytes), so that a damaged length asks for no memory.
	maxPayload = 1 << 20
	// maxEvents bounds what a payload becomes when it is decompressed (bytes).
	maxEvents = 16 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Causes of damage.
var (
	errMagic    = errors.New("not a membership history")
	errTorn     = errors.New("the last frame is incomplete")
	errLength   = errors.New("a frame's length is impossible")
	errChecksum = errors.New("a frame's checksum does not match")
)

// codec compresses and decompresses payloads. It is used by one goroutine.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCodec() (*codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstd.MinWindowSize<<6))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxEvents))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &codec{encoder, decoder}, nil
}

func (c *codec) close() {
	_ = c.encoder.Close() // it writes nowhere
	c.decoder.Close()
}

// appendFrame appends a frame with the events to a file's bytes.
func (c *codec) appendFrame(to []byte, events []Event) ([]byte, error) {
	text, err := json.Marshal(events)
	if err != nil {
		return to, fmt.Errorf("history: %w", err)
	}
	payload := c.encoder.EncodeAll(text, nil)
	to = binary.BigEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(payload, checksums))
	return append(to, payload...), nil
}

// parse reads a file's bytes up to the first damage. intact is how many of them are
// sound.
func (c *codec) parse(data []byte) (events []Event, intact int, damage error) {
	if len(data) == 0 {
		return nil, 0, nil
	}
	if !bytes.HasPrefix(data, []byte(magic)) {
		return nil, 0, errMagic
	}
	intact = len(magic)
	for intact < len(data) {
		more, size, err := c.parseFrame(data[intact:])
		if err != nil {
			return events, intact, err
		}
		events = append(events, more...)
		intact += size
	}
	return events, intact, nil
}

func (c *codec) parseFrame(data []byte) (events []Event, size int, err error) {
	if len(data) < frameHeader {
		return nil, 0, errTorn
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxPayload {
		return nil, 0, errLength
	}
	size = frameHeader + length
	if len(data) < size {
		return nil, 0, errTorn
	}
	payload := data[frameHeader:size]
	if crc32.Checksum(payload, checksums) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, errChecksum
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
