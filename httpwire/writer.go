package httpwire

import (
	"net/http"
	"strconv"
)

const contentTypeJSON = "application/json"

// AppendRequest appends a request to dst. If body is nil, the request has no
// Content-Type and no Content-Length.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil {
		dst = append(dst, "\r\nContent-Type: "+contentTypeJSON+"\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// Response is a response to send.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // application/json if empty
	RetryAfterS int    // no Retry-After header if 0
	Allow       string // allowed methods, for status 405
	Close       bool   // the connection is closed after this response
}

// AppendResponse appends a response to dst.
func AppendResponse(dst []byte, r *Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(r.Status)...)
	contentType := r.ContentType
	if contentType == "" {
		contentType = contentTypeJSON
	}
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, contentType...)
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

// reasonPhrase returns the text after a status code. The texts of net/http differ for
// 413 and 422.
func reasonPhrase(status int) string {
	switch status {
	case http.StatusOK:
		return "OK"
	case http.StatusCreated:
		return "Created"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusRequestTimeout:
		return "Request Timeout"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusMisdirectedRequest:
		return "Misdirected Request"
	case http.StatusUnprocessableEntity:
		return "Unprocessable Content"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	}
	return "Status"
}
