// Package httpwire implements the part of HTTP/1.1 that ravenport uses: an incremental
// parser and a writer for both sides of a connection, and a small client with a
// connection pool.
package httpwire

import (
	"bytes"
	"errors"
	"strings"
)

// Errors of the parser. The caller closes the connection after either of them.
var (
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Limits bound the size of one message.
type Limits struct {
	Header int // maximum size of the first line and all headers (bytes)
	Body   int // maximum size of the body (bytes); 0 means no limit
}

// Message is a parsed request or response. Its fields do not alias the parser's input.
type Message struct {
	Method     string // only in a request
	Target     string // only in a request
	Status     int    // only in a response
	Body       []byte
	RetryAfter string
	Close      bool // the sender will close the connection, or asks the receiver to close it
}

// messageKind determines the format of a message's first line.
type messageKind int

const (
	requestKind messageKind = iota
	responseKind
)

var (
	lineEnd   = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// maxLeadingBlankBytes is the maximum number of bytes of empty lines before a message.
const maxLeadingBlankBytes = 4

// ParseRequest parses one request from the start of buf. It returns the request and the
// number of bytes used, or nil and 0 while the request is incomplete.
func ParseRequest(buf []byte, limits Limits) (*Message, int, error) {
	return parse(buf, limits, requestKind)
}

// ParseResponse is like ParseRequest, for responses whose body has a Content-Length or
// is chunked.
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
