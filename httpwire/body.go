package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxChunkLine is the maximum length of the line with a chunk's size and extensions
	// (bytes).
	maxChunkLine = 256
	// maxTrailerLine is the maximum length of a trailer line (bytes).
	maxTrailerLine = 4096
)

// parseBody parses a body from the start of buf and returns the number of bytes used.
// limit is the maximum size of the body (bytes); 0 means no limit.
func (f framing) parseBody(buf []byte, limit int) (body []byte, used int, complete bool, err error) {
	if f.chunked {
		return parseChunkedBody(buf, limit)
	}
	if limit > 0 && f.length > limit {
		return nil, 0, false, ErrTooLarge
	}
	if len(buf) < f.length {
		return nil, 0, false, nil
	}
	if f.length > 0 {
		body = bytes.Clone(buf[:f.length])
	}
	return body, f.length, true, nil
}

// parseChunkedBody is parseBody for a chunked body.
func parseChunkedBody(buf []byte, limit int) (body []byte, used int, complete bool, err error) {
	offset := 0
	for {
		size, n, err := parseChunkSize(buf[offset:])
		if err != nil || n == 0 {
			return nil, 0, false, err
		}
		offset += n
		if size == 0 {
			break
		}
		if limit > 0 && len(body)+size > limit {
			return nil, 0, false, ErrTooLarge
		}
		end := offset + size
		if len(buf) < end+len(lineEnd) {
			return nil, 0, false, nil
		}
		body = append(body, buf[offset:end]...)
		if !bytes.HasPrefix(buf[end:], lineEnd) {
			return nil, 0, false, ErrMalformed
		}
		offset = end + len(lineEnd)
	}
	n, err := skipTrailers(buf[offset:])
	if err != nil || n == 0 {
		return nil, 0, false, err
	}
	return body, offset + n, true, nil
}

// parseChunkSize parses the line before a chunk and returns the chunk's size and the
// number of bytes used, which is 0 while the line is incomplete.
func parseChunkSize(buf []byte) (size, used int, err error) {
	end := bytes.Index(buf, lineEnd)
	if end < 0 {
		if len(buf) > maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, nil
	}
	text, _, _ := strings.Cut(string(buf[:end]), ";")
	parsed, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(parsed), end + len(lineEnd), nil
}

// skipTrailers returns the number of bytes of the trailers and the empty line after
// them, or 0 while they are incomplete.
func skipTrailers(buf []byte) (int, error) {
	offset := 0
	for {
		length := bytes.Index(buf[offset:], lineEnd)
		if length < 0 {
			if len(buf)-offset > maxTrailerLine {
				return 0, ErrMalformed
			}
			return 0, nil
		}
		offset += length + len(lineEnd)
		if length == 0 {
			return offset, nil
		}
	}
}
