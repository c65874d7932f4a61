package client

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fetch sends one request to a server that sends answer and closes the connection, and
// reads the whole response.
func fetch(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c := New()
	defer c.Close()
	a, err := c.Send(ctx, Exchange{Method: http.MethodGet, URL: cutServer(t, answer)})
	if err != nil {
		assert.Check(t, MaybeSent(err))
		return 0, "", err
	}
	defer func() { _ = a.Body().Close() }()
	b, err := a.ReadAll(1000)
	return a.Status(), string(b), err
}

// assertInvalid checks that each of the answers is an error.
func assertInvalid(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := fetch(t, answer)
			assert.Check(t, err != nil, "status %d, body %q", status, body)
		})
	}
}

// Guards against responses that are not valid HTTP/1.1 and are taken for valid ones.
func TestInvalidResponses(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nmade"
	cases := map[string]string{
		"status 000":                "HTTP/1.1 000 X\r\n" + rest,
		"status 099":                "HTTP/1.1 099 X\r\n" + rest,
		"status 600":                "HTTP/1.1 600 X\r\n" + rest,
		"status 999":                "HTTP/1.1 999 X\r\n" + rest,
		"status with a sign":        "HTTP/1.1 +20 X\r\n" + rest,
		"status of two digits":      "HTTP/1.1 20 X\r\n" + rest,
		"status with a letter":      "HTTP/1.1 2O0 X\r\n" + rest,
		"no status":                 "HTTP/1.1 \r\n" + rest,
		"other protocol":            "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nmade",
		"two spaces":                "HTTP/1.1  200 X\r\n" + rest,
		"tab before the status":     "HTTP/1.1\t200 X\r\n" + rest,
		"tab after the status":      "HTTP/1.1 200\tX\r\n" + rest,
		"control byte in a reason":  "HTTP/1.1 200 X\x00\r\n" + rest,
		"CR in a reason":            "HTTP/1.1 200 X\rY\r\n" + rest,
		"version 2.0":               "HTTP/2.0 200 X\r\n" + rest,
		"version 0.9":               "HTTP/0.9 200 X\r\n" + rest,
		"version in small letters":  "http/1.1 200 X\r\n" + rest,
		"interim status 099":        "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"version of interim answer": "HTTP/2.0 103 X\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"control byte in interim":   "HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	}
	fields := map[string]string{
		"blank in a name":             "X A: b",
		"blank before the colon":      "X-A : b",
		"tab before the colon":        "X-A\t: b",
		"blank before the length":     "Content-Length : 4",
		"blank before the encoding":   "Transfer-Encoding : chunked",
		"blank before a name":         "X-A: b\r\n X-B: c",
		"tab before a name":           "X-A: b\r\n\tContent-Length: 4",
		"blank before the first name": " X-A: b",
		"only a blank":                "X-A: b\r\n \r\nX-B: c",
		"empty name":                  ": b",
		"no colon":                    "X-A",
		"quote in a name":             "X\"A: b",
		"slash in a name":             "X/A: b",
		"name is not ASCII":           "X-\xc3\xa9: b",
		"CR in a name":                "X\rA: b",
		"CR in a value":               "X-A: b\rX-B: c",
		"NUL in a value":              "X-A: b\x00",
		"DEL in a value":              "X-A: \x7f",
	}
	for _, c := range []byte("\x00\x01\x08\t\v\f\x1b\x1f\x7f\x80\xa0") {
		fields[fmt.Sprintf("byte %#02x in a name", c)] = "X" + string([]byte{c}) + "A: b"
		fields[fmt.Sprintf("byte %#02x before a name", c)] = "X-A: b\r\n" + string([]byte{c}) + "X-B: c"
		fields[fmt.Sprintf("byte %#02x after a name", c)] = "X-A" + string([]byte{c}) + ": b"
	}
	for name, field := range fields {
		cases[name] = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + rest
		cases[name+", last"] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + field + "\r\n\r\nmade"
		cases[name+", newlines"] = strings.ReplaceAll(cases[name], "\r\n", "\n")
		cases[name+", interim"] = "HTTP/1.1 103 X\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest
		cases[name+", no length"] = "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nmade"
	}
	assertInvalid(t, cases)
}

// Guards against responses whose framing is ambiguous or wrong, so that their body may not
// be the server's.
func TestInvalidFraming(t *testing.T) {
	const chunks = "\r\n4\r\nmade\r\n0\r\n\r\n"
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"
	cases := map[string]string{
		"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"chunks and length":          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n" + chunks,
		"chunks and length 0":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n" + chunks,
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"chunks, length in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n" + chunks,
		"encoding unknown, HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nmade",
		"chunks in 204":              "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"length of 204":              "HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\nmade",
		"length of interim":          "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n" + final,
		"chunks in interim":          "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + final,
		"body of interim":            "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nmade" + final,
		"encoding unknown":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nmade",
		"encoding identity":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nmade",
		"encoding empty":             "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nmade",
		"two encodings":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n" + chunks,
		"chunked twice":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nmade",
		"list of lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n\r\nmade",
		"length with a sign":         "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nmade",
		"length below zero":          "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nmade",
		"length in hexadecimal":      "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nmade",
		"length with a blank":        "HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\nmade",
		"length empty":               "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nmade",
		"length too large":           "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551620\r\n\r\nmade",
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"size with a sign":         "+4\r\nmade\r\n0\r\n\r\n",
		"size in hexadecimal":      "0x4\r\nmade\r\n0\r\n\r\n",
		"size after a blank":       " 4\r\nmade\r\n0\r\n\r\n",
		"size empty":               "\r\nmade\r\n0\r\n\r\n",
		"size too large":           "10000000000000004\r\nmade\r\n0\r\n\r\n",
		"newline after the size":   "4\nmade\r\n0\r\n\r\n",
		"CR in an extension":       "4;x\ry\r\nmade\r\n0\r\n\r\n",
		"chunk without its end":    "4\r\nmade0\r\n\r\n",
		"newline after a chunk":    "4\r\nmade\n0\r\n\r\n",
		"longer than its size":     "3\r\nmade\r\n0\r\n\r\n",
		"shorter than its size":    "5\r\nmade\r\n0\r\n\r\n",
		"no last chunk":            "4\r\nmade\r\n",
		"no end of the last chunk": "4\r\nmade\r\n0\r\n",
		"newlines at the end":      "4\r\nmade\r\n0\n\n",
	} {
		cases[name] = chunked + body
	}
	assertInvalid(t, cases)
}

// Guards against chunked responses that are taken for complete although a trailer field is
// invalid.
func TestInvalidTrailers(t *testing.T) {
	cases := map[string]string{
		"blank in a name":      "X A: b",
		"blank before a colon": "X-A : b",
		"only one of them":     "X-A: b\r\nX B: c\r\nX-C: d",
		"blank before a name":  " X-A: b",
		"tab in a name":        "X\tA: b",
		"NUL in a name":        "X\x00A: b",
		"empty name":           ": b",
		"no colon":             "X-A",
		"NUL in a value":       "X-A: \x00",
		"CR in a value":        "X-A: b\rc",
	}
	answers := make(map[string]string)
	for name, field := range cases {
		const chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n"
		answers[name] = "HTTP/1.1 200 OK\r\n" + chunks + field + "\r\n\r\n"
		answers[name+", announced"] = "HTTP/1.1 200 OK\r\nTrailer: X-A\r\n" + chunks + field + "\r\n\r\n"
	}
	assertInvalid(t, answers)
}

// TestUnusualResponses checks that responses that HTTP/1.1 allows are read, however
// unusual they are.
func TestUnusualResponses(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nmade"
	cases := map[string]struct {
		answer string
		status int
	}{
		"without a name":    {"HTTP/1.1 299 \r\n" + rest, 299},
		"largest status":    {"HTTP/1.1 599 X\r\n" + rest, 599},
		"no reason":         {"HTTP/1.1 200\r\n" + rest, 200},
		"reason with a tab": {"HTTP/1.1 200 all\tis well\r\n" + rest, 200},
		"reason, not ASCII": {"HTTP/1.1 200 d\xe9j\xc3\xa0 vu\r\n" + rest, 200},
		"older version":     {"HTTP/1.0 200 OK\r\n" + rest, 200},
		"newer version":     {"HTTP/1.2 200 OK\r\n" + rest, 200},
		"newlines only":     {"HTTP/1.1 200 OK\nContent-Length: 4\n\nmade", 200},
		"interim":           {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"interim, unknown":  {"HTTP/1.1 199 X\r\nX-Progress: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"many interim":      {"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"all of a token":    {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n" + rest, 200},
		"empty value":       {"HTTP/1.1 200 OK\r\nX-A:\r\nX-B: \t\r\n" + rest, 200},
		"no space":          {"HTTP/1.1 200 OK\r\nX-A:b:c\r\n" + rest, 200},
		"value with a tab":  {"HTTP/1.1 200 OK\r\nX-A: b\tc\r\n" + rest, 200},
		"value, not ASCII":  {"HTTP/1.1 200 OK\r\nX-A: \xe9\xc3\xa9\r\n" + rest, 200},
		"no fields":         {"HTTP/1.1 200 OK\r\n\r\nmade", 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := fetch(t, tc.answer)
			assert.NilError(t, err)
			assert.Equal(t, status, tc.status)
			assert.Equal(t, body, "made")
		})
	}
}

// Guards against the record of a reused connection that misses the beginning of a
// response or mixes those of two exchanges.
func TestReusedConnectionIsChecked(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nmade"
	cases := map[string]struct{ answer, want string }{
		"status line": {"HTTP/1.1 000 X\r\n" + rest, "status line"},
		"field":       {"HTTP/1.1 200 X\r\nX A: b\r\n" + rest, "field"},
		"interim":     {"HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 X\r\n" + rest, "field"},
		"framing":     {"HTTP/1.1 204 X\r\n" + rest, "announces a body"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			url := cutServer(t, "HTTP/1.1 200 X\r\n"+rest, "HTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 299 X\r\n"+rest, tc.answer)
			c := New()
			defer c.Close()
			x := Exchange{Method: http.MethodGet, URL: url, Idempotent: true}
			for _, want := range []int{200, 204, 299} {
				a, err := c.Send(t.Context(), x)
				assert.NilError(t, err)
				assert.Equal(t, a.Status(), want)
				_, err = a.ReadAll(100)
				assert.NilError(t, err)
				assert.NilError(t, a.Body().Close())
			}
			_, err := c.Send(t.Context(), x)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against responses without a body that are refused, since their connection is
// reused before their record is taken.
func TestRecordsStayApart(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer s.Close()
	c := New()
	defer c.Close()
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for range 500 {
				a, err := c.Send(t.Context(), Exchange{Method: http.MethodGet, URL: s.URL, Idempotent: true})
				if !assert.Check(t, err == nil, "%v", err) {
					return
				}
				_ = a.Body().Close()
			}
		})
	}
	senders.Wait()
}
