// Package httpwire is ravenport's own HTTP/1.1: an incremental parser and a writer for
// both sides of a connection, and a small pooling client.
package httpwire

import (
	"bytes"
	"errors"
	"strings"
)

// Errors of the parser. The caller closes the connection after either.
var (
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Limits bound the size of one message.
type Limits struct {
	Header int // of the first line and all headers (bytes)
	Body   int // of the body (bytes); 0: no limit
}

// Message is a parsed request or response. Its fields do not alias the parser's input.
type Message struct {
	Method     string // of a request
	Target     string // of a request
	Status     int    // of a response
	Body       []byte
	RetryAfter string
	Close      bool // the sender will close the connection, or wants it closed
}

// messageKind says which first line a message has.
type messageKind int

const (
	requestKind messageKind = iota
	responseKind
)

var (
	lineEnd   = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// maxLeadingBlankBytes is how many bytes of empty lines may precede a message.
const maxLeadingBlankBytes = 4

// ParseRequest parses one request from the start of buf. It returns the number of bytes
// used, and 0 with a nil message if the request is not complete yet.
func ParseRequest(buf []byte, limits Limits) (*Message, int, error) {
	return parse(buf, limits, requestKind)
}

// ParseResponse is like ParseRequest for responses whose body has a Content-Length or is
// chunked.
func ParseResponse(buf []byte, limits Limits) (*Message, int, error) {
	return parse(buf, limits, responseKind)
}

func parse(buf []byte, limits Limits, kind messageKind) (*Message, int, error) {
	start := leadingBlankBytes(buf)
	headerLength := bytes.Index(buf[start:], headerEnd)
	if headerLength < 0 {
		if len(buf)-start > limits.Header {
			return nil, 0, ErrTooLarge
		}
		return nil, 0, nil
	}
	if headerLength > limits.Header {
		return nil, 0, ErrTooLarge
	}
	m := &Message{}
	framing, err := m.parseHeader(string(buf[start:start+headerLength]), kind)
	if err != nil {
		return nil, 0, err
	}
	bodyStart := start + headerLength + len(headerEnd)
	body, used, complete, err := framing.parseBody(buf[bodyStart:], limits.Body)
	if err != nil || !complete {
		return nil, 0, err
	}
	m.Body = body
	return m, bodyStart + used, nil
}

// leadingBlankBytes counts the bytes of empty lines before a message, up to
// maxLeadingBlankBytes.
func leadingBlankBytes(buf []byte) int {
	n := 0
	for n < maxLeadingBlankBytes && bytes.HasPrefix(buf[n:], lineEnd) {
		n += len(lineEnd)
	}
	return n
}

// parseHeader parses the first line and the headers, without the empty line after them.
func (m *Message) parseHeader(header string, kind messageKind) (framing, error) {
	firstLine, headers, _ := strings.Cut(header, "\r\n")
	var err error
	if kind == requestKind {
		err = m.parseRequestLine(firstLine)
	} else {
		err = m.parseStatusLine(firstLine)
	}
	if err != nil {
		return framing{}, err
	}
	return m.parseHeaders(headers)
}
