package client

import (
	"context"
	"net/http"
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
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := fetch(t, answer)
			assert.Check(t, err != nil, "status %d, body %q", status, body)
		})
	}
}

// TestUnusualResponses checks that responses that HTTP/1.1 allows are read, however
// unusual they are.
func TestUnusualResponses(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nmade"
	cases := map[string]struct {
		answer string
		status int
	}{
		"without a name":     {"HTTP/1.1 299 \r\n" + rest, 299},
		"largest status":     {"HTTP/1.1 599 X\r\n" + rest, 599},
		"no reason":          {"HTTP/1.1 200\r\n" + rest, 200},
		"reason with a tab":  {"HTTP/1.1 200 all\tis well\r\n" + rest, 200},
		"reason, not ASCII":  {"HTTP/1.1 200 d\xe9j\xc3\xa0 vu\r\n" + rest, 200},
		"older version":      {"HTTP/1.0 200 OK\r\n" + rest, 200},
		"newer version":      {"HTTP/1.2 200 OK\r\n" + rest, 200},
		"newlines only":      {"HTTP/1.1 200 OK\nContent-Length: 4\n\nmade", 200},
		"interim":            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"interim, unknown":   {"HTTP/1.1 199 X\r\nX-Progress: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"many interim":       {"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
		"ends with its conn": {"HTTP/1.1 200 OK\r\n\r\nmade", 200},
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
	answer := func(status string) string {
		return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nmade"
	}
	url := cutServer(t, answer("200"), answer("204")[:len("HTTP/1.1 204 X\r\n")]+"\r\n", answer("299"), answer("000"))
	c := New()
	defer c.Close()
	for _, want := range []int{200, 204, 299, 0} {
		a, err := c.Send(t.Context(), Exchange{Method: http.MethodGet, URL: url, Idempotent: true})
		if want == 0 {
			assert.ErrorContains(t, err, "status line")
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, a.Status(), want)
		_, err = a.ReadAll(100)
		assert.NilError(t, err)
		assert.NilError(t, a.Body().Close())
	}
}
