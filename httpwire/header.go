package httpwire

import (
	"strconv"
	"strings"
)

// framing is the framing of a message's body according to the message's headers.
type framing struct {
	length    int // size of the body (bytes), if hasLength
	hasLength bool
	chunked   bool
}

func (m *Message) parseRequestLine(line string) error {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isMethod(method) || !isTarget(target) {
		return ErrMalformed
	}
	m.Method = method
	m.Target = target
	return m.parseVersion(version)
}

func isMethod(method string) bool {
	for _, r := range method {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return method != ""
}

// isTarget reports whether target is a path of printable ASCII without spaces.
func isTarget(target string) bool {
	if target == "" || target[0] != '/' {
		return false
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return false
		}
	}
	return true
}

func (m *Message) parseStatusLine(line string) error {
	version, rest, ok := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !ok || err != nil || status < 100 || status > 599 {
		return ErrMalformed
	}
	m.Status = status
	return m.parseVersion(version)
}

func (m *Message) parseVersion(version string) error {
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return ErrMalformed
	}
	return nil
}

// parseHeaders parses the header lines, which follow the first line.
func (m *Message) parseHeaders(headers string) (framing, error) {
	var f framing
	for headers != "" {
		var line string
		line, headers, _ = strings.Cut(headers, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\n\r") || strings.ContainsAny(value, "\n\r\x00") {
			return framing{}, ErrMalformed
		}
		if err := m.applyHeader(&f, name, strings.Trim(value, " \t")); err != nil {
			return framing{}, err
		}
	}
	// Two parsers could read a message with both headers as different messages.
	if f.chunked && f.hasLength {
		return framing{}, ErrMalformed
	}
	return f, nil
}

// applyHeader processes one header. Headers that ravenport does not use are ignored.
func (m *Message) applyHeader(f *framing, name, value string) error {
	switch {
	case strings.EqualFold(name, "content-length"):
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || f.hasLength && int(length) != f.length {
			return ErrMalformed
		}
		f.length = int(length)
		f.hasLength = true
	case strings.EqualFold(name, "transfer-encoding"):
		if !strings.EqualFold(value, "chunked") || f.chunked {
			return ErrMalformed
		}
		f.chunked = true
	case strings.EqualFold(name, "connection"):
		m.applyConnection(value)
	case strings.EqualFold(name, "retry-after"):
		m.RetryAfter = value
	}
	return nil
}

// applyConnection processes the options of a Connection header.
func (m *Message) applyConnection(value string) {
	for _, option := range strings.Split(value, ",") {
		option = strings.TrimSpace(option)
		switch {
		case strings.EqualFold(option, "close"):
			m.Close = true
		case strings.EqualFold(option, "keep-alive"):
			m.Close = false
		}
	}
}
