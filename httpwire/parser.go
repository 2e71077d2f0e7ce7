// Package httpwire is ravenport's own HTTP/1.1: an incremental parser and
// writer for both sides of a connection, and a small pooling client.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Errors of the parser. A server answers ErrTooLarge with 413 and the others
// with 400, and closes the connection.
var (
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Limits bound what one message may take.
type Limits struct {
	Header int // bytes of the first line and all headers
	Body   int // bytes of the body; 0: no bound
}

// Message is a parsed request or response. Its fields do not alias the input.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Body           []byte
	RetryAfter     string
	Close          bool // the sender will close, or wants the connection closed
}

// ParseRequest reads one request from the start of buf. It returns the number
// of bytes used, 0 if the request is not complete yet.
func ParseRequest(buf []byte, lim Limits) (*Message, int, error) { return parse(buf, lim, true) }

// ParseResponse is like ParseRequest for responses with a stated length.
func ParseResponse(buf []byte, lim Limits) (*Message, int, error) { return parse(buf, lim, false) }

func parse(buf []byte, lim Limits, request bool) (*Message, int, error) {
	skip := 0
	// Empty lines before a message are allowed, a few at most.
	for skip < 4 && skip+1 < len(buf) && buf[skip] == '\r' && buf[skip+1] == '\n' {
		skip += 2
	}
	end := bytes.Index(buf[skip:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf)-skip > lim.Header {
			return nil, 0, ErrTooLarge
		}
		return nil, 0, nil
	}
	if end > lim.Header {
		return nil, 0, ErrTooLarge
	}
	head := string(buf[skip : skip+end])
	first, rest, _ := strings.Cut(head, "\r\n")
	m := &Message{}
	var err error
	if request {
		err = m.requestLine(first)
	} else {
		err = m.statusLine(first)
	}
	if err != nil {
		return nil, 0, err
	}
	length, chunked, err := m.headers(rest)
	if err != nil {
		return nil, 0, err
	}
	at := skip + end + 4
	if chunked {
		body, n, err := parseChunks(buf[at:], lim.Body)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		m.Body = body
		return m, at + n, nil
	}
	if lim.Body > 0 && length > lim.Body {
		return nil, 0, ErrTooLarge
	}
	if len(buf)-at < length {
		return nil, 0, nil
	}
	if length > 0 {
		m.Body = bytes.Clone(buf[at : at+length])
	}
	return m, at + length, nil
}

func (m *Message) version(v string) error {
	switch v {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return ErrMalformed
	}
	return nil
}

func (m *Message) requestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || method == "" || len(target) == 0 || target[0] != '/' {
		return ErrMalformed
	}
	for _, r := range method {
		if r < 'A' || r > 'Z' {
			return ErrMalformed
		}
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return ErrMalformed
		}
	}
	m.Method, m.Target = method, target
	return m.version(version)
}

func (m *Message) statusLine(line string) error {
	version, rest, ok := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if !ok || err != nil || n < 100 || n > 599 {
		return ErrMalformed
	}
	m.Status = n
	return m.version(version)
}

func (m *Message) headers(block string) (length int, chunked bool, err error) {
	seenLength := false
	for block != "" {
		var line string
		line, block, _ = strings.Cut(block, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\n\r") || strings.ContainsAny(value, "\n\r\x00") {
			return 0, false, ErrMalformed
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "content-length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || seenLength && int(n) != length {
				return 0, false, ErrMalformed
			}
			length, seenLength = int(n), true
		case strings.EqualFold(name, "transfer-encoding"):
			if !strings.EqualFold(value, "chunked") || chunked {
				return 0, false, ErrMalformed
			}
			chunked = true
		case strings.EqualFold(name, "connection"):
			for _, v := range strings.Split(value, ",") {
				switch v = strings.TrimSpace(v); {
				case strings.EqualFold(v, "close"):
					m.Close = true
				case strings.EqualFold(v, "keep-alive"):
					m.Close = false
				}
			}
		case strings.EqualFold(name, "retry-after"):
			m.RetryAfter = value
		}
	}
	// A message with both could be read differently by two parsers.
	if chunked && seenLength {
		return 0, false, ErrMalformed
	}
	return length, chunked, nil
}

// parseChunks reads a chunked body; n is 0 while it is incomplete.
func parseChunks(buf []byte, limit int) (body []byte, n int, err error) {
	at := 0
	for {
		eol := bytes.Index(buf[at:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-at > 256 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		text, _, _ := strings.Cut(string(buf[at:at+eol]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		at += eol + 2
		if size == 0 {
			break
		}
		if limit > 0 && len(body)+int(size) > limit {
			return nil, 0, ErrTooLarge
		}
		if len(buf)-at < int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, buf[at:at+int(size)]...)
		at += int(size)
		if buf[at] != '\r' || buf[at+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		at += 2
	}
	// Trailers, if any, end with an empty line.
	for {
		eol := bytes.Index(buf[at:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-at > 4096 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		at += eol + 2
		if eol == 0 {
			return body, at, nil
		}
	}
}

// AppendRequest writes a request.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// Response is an answer to be written.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // empty: application/json
	RetryAfterS int    // 0: no such header
	Allow       string // methods allowed, for 405
	Close       bool
}

// AppendResponse writes a response.
func AppendResponse(dst []byte, r *Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(r.Status)...)
	ct := r.ContentType
	if ct == "" {
		ct = "application/json"
	}
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, ct...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
	if r.RetryAfterS > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(r.RetryAfterS), 10)
	}
	if r.Allow != "" {
		dst = append(dst, "\r\nAllow: "...)
		dst = append(dst, r.Allow...)
	}
	if r.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, r.Body...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	case 422:
		return "Unprocessable Content"
	case 429:
		return "Too Many Requests"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}
