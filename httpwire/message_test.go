package httpwire

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

var limits = Limits{Header: 4 << 10, Body: 64 << 10}

// A request is parsed only once all of its bytes have arrived, wherever it is split,
// and the bytes that follow the request are not used.
func TestRequestInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
		target := "/" + rapid.StringMatching(`[a-z0-9/?=&-]{0,40}`).Draw(t, "target")
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		raw := AppendRequest(nil, method, target, "h", body)
		after := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "after")
		at := 0
		for at < len(raw) {
			m, n, err := ParseRequest(raw[:at], limits)
			if err != nil || n != 0 || m != nil {
				t.Fatalf("%d of %d bytes: %v, %d, %v", at, len(raw), m, n, err)
			}
			at += rapid.IntRange(1, len(raw)-at).Draw(t, "step")
		}
		m, n, err := ParseRequest(append(bytes.Clone(raw), after...), limits)
		if err != nil || n != len(raw) {
			t.Fatalf("used %d of %d: %v", n, len(raw), err)
		}
		if m.Method != method || m.Target != target || !bytes.Equal(m.Body, body) {
			t.Fatalf("read %q %q %q", m.Method, m.Target, m.Body)
		}
	})
}

func TestResponseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Response{
			Status:      rapid.IntRange(100, 599).Draw(t, "status"),
			Body:        rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body"),
			RetryAfterS: rapid.IntRange(0, 30).Draw(t, "retry"),
			Close:       rapid.Bool().Draw(t, "close"),
		}
		raw := AppendResponse(nil, r)
		m, n, err := ParseResponse(raw, limits)
		if err != nil || n != len(raw) || m.Status != r.Status || !bytes.Equal(m.Body, r.Body) || m.Close != r.Close {
			t.Fatalf("%+v became %+v, %d, %v", r, m, n, err)
		}
		if (m.RetryAfter != "") != (r.RetryAfterS > 0) {
			t.Fatalf("Retry-After %q for %d", m.RetryAfter, r.RetryAfterS)
		}
	})
}

// The chunks of a body are joined. A body over the limit is refused.
func TestChunkedBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var raw, want bytes.Buffer
		raw.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, c := range rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,40}`), 0, 6).Draw(t, "chunks") {
			raw.WriteString(strings.ToUpper(hex(len(c))) + ";x=1\r\n" + c + "\r\n")
			want.WriteString(c)
		}
		raw.WriteString("0\r\n\r\n")
		cutAt := rapid.IntRange(0, raw.Len()-1).Draw(t, "cut")
		if _, n, err := ParseResponse(raw.Bytes()[:cutAt], limits); n != 0 || err != nil {
			t.Fatalf("an incomplete message was parsed: %d, %v", n, err)
		}
		m, n, err := ParseResponse(raw.Bytes(), limits)
		if err != nil || n != raw.Len() || !bytes.Equal(m.Body, want.Bytes()) {
			t.Fatalf("%q, %d, %v", m.Body, n, err)
		}
		if want.Len() > 1 {
			if _, _, err := ParseResponse(raw.Bytes(), Limits{Header: 4096, Body: want.Len() - 1}); err != ErrTooLarge {
				t.Fatalf("over the limit: %v", err)
			}
		}
	})
}

func hex(n int) string {
	const digits = "0123456789abcdef"
	if n < 16 {
		return digits[n : n+1]
	}
	return hex(n/16) + digits[n%16:n%16+1]
}

// Whatever its input, the parser neither panics nor uses more bytes than there are.
func TestParserOnAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := rapid.OneOf(
			rapid.SliceOfN(rapid.Byte(), 0, 200),
			rapid.Map(rapid.StringMatching(`(GET|POST) /[a-z]* HTTP/1\.[01]\r\n(Content-Length: -?[0-9a]{1,12}\r\n|Transfer-Encoding: [a-z]+\r\n|[A-Z: \n]*\r\n)*\r\n`), func(s string) []byte { return []byte(s) }),
		).Draw(t, "junk")
		_, n, _ := ParseRequest(input, limits)
		if n < 0 || n > len(input) {
			t.Fatalf("used %d of %d", n, len(input))
		}
	})
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	for name, raw := range map[string]string{
		"two lengths that differ":  "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length and chunks":        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"negative length":          "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"no target":                "GET  HTTP/1.1\r\n\r\n",
		"unknown version":          "GET / HTTP/2.0\r\n\r\n",
		"space in a header's name": "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
		"body over the limit":      "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
		"headers over the limit":   "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 2000),
	} {
		if _, _, err := ParseRequest([]byte(raw), limits); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// A heartbeat's request is parsed, and its response written, with few allocations.
func TestRequestsTakeFewAllocations(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 600)
	buf := AppendRequest(nil, "POST", "/agent/beat", "10.0.0.1:80", body)
	out := make([]byte, 0, 1024)
	n := testing.AllocsPerRun(100, func() {
		m, used, err := ParseRequest(buf, Limits{Header: 8192, Body: 65536})
		if err != nil || used != len(buf) || len(m.Body) != len(body) {
			t.Fatal(used, err)
		}
		out = AppendResponse(out[:0], &Response{Status: 200, Body: body})
	})
	if n > 3 {
		t.Fatalf("%g allocations", n)
	}
}
