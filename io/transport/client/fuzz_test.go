package client

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHead checks that heads that pass both net/http and the check have a valid status
// and valid fields.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"))
	f.Add([]byte("HTTP/1.1 103 X\r\nX-A: b\r\n\r\nHTTP/1.0 299\nX A : b\n c\n\n"))
	f.Add([]byte("HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\nContent-Length : 4\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if checkHead(b) != nil {
			return
		}
		in := bufio.NewReader(bytes.NewReader(b))
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			if resp.StatusCode > maxStatus || resp.ProtoMajor != 1 {
				t.Fatalf("status %d of %s", resp.StatusCode, resp.Proto)
			}
			for name, values := range resp.Header {
				if !isToken([]byte(name)) {
					t.Fatalf("field %q: %q", name, values)
				}
			}
			if resp.StatusCode >= minStatus {
				return
			}
			if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols || resp.ContentLength > 0 {
				t.Fatalf("interim status %d, length %d", resp.StatusCode, resp.ContentLength)
			}
		}
	})
}
