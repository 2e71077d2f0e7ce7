package httpwire

import "testing"

// fuzzLimits are small so that fuzzing inputs exceed them.
var fuzzLimits = Limits{Header: 512, Body: 1024}

// FuzzParse checks that parsing any bytes does not panic, uses no more bytes than the
// input has, and uses bytes exactly when it returns a message.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		for name, parse := range map[string]func([]byte, Limits) (*Message, int, error){"request": ParseRequest, "response": ParseResponse} {
			message, used, err := parse(input, fuzzLimits)
			switch {
			case used < 0 || used > len(input):
				t.Errorf("%s: used %d of %d bytes", name, used, len(input))
			case err == nil && message != nil && used == 0:
				t.Errorf("%s: message returned with 0 bytes used", name)
			case err == nil && message == nil && used != 0:
				t.Errorf("%s: %d bytes used without a message", name, used)
			case err == nil && message != nil && len(message.Body) > fuzzLimits.Body:
				t.Errorf("%s: body of %d bytes is over the limit", name, len(message.Body))
			}
		}
	})
}
