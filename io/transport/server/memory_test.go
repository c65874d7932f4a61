package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/transport/memory"
	"papayaspoke/io/transport/server"
)

const testMemory = 1 << 20

// listenWithMemory starts a server with a budget of testMemory bytes that answers with
// the length of the body.
func listenWithMemory(t *testing.T) (*server.Server, *memory.Budget) {
	t.Helper()
	b := memory.NewReservedBudget(testMemory)
	s := listen(t, server.Options{Memory: b}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := server.Body(r)
		fmt.Fprint(w, len(body))
	})
	return s, b
}

func sendLength(c net.Conn, length, sent int) {
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", sent))
}

// awaitFree waits until a budget has no holds.
func awaitFree(t *testing.T, b *memory.Budget) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		h := b.Hold(func() {})
		err := h.Resize(testMemory * 3 / 4)
		free := err == nil && b.Fits(testMemory*3/4) && h.Resize(64<<10) == nil
		h.Release()
		if free {
			return
		}
		assert.Assert(t, time.Now().Before(end), "bytes are not returned")
	}
}

// TestIncompleteRequestsGiveWay guards against clients that stop short of the end of
// their requests and leave no memory for others.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	const length = 300 << 10
	s, b := listenWithMemory(t)
	var crowd []net.Conn
	for range 10 {
		c := dial(t, s)
		sendLength(c, length, length-1)
		crowd = append(crowd, c)
	}
	refused := 0
	for i, c := range crowd {
		if i < 2 {
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(testTimeout / 10))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue
		}
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Papayaspoke-Result"), "217")
		assert.Check(t, resp.Header.Get("Retry-After") != "")
		refused++
	}
	assert.Check(t, refused >= 6, "%d of 8 were refused", refused)
	ordinary := dial(t, s)
	sendLength(ordinary, 1000, 1000)
	resp, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	assert.NilError(t, err)
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "1000")
	for _, c := range crowd {
		_ = c.Close()
	}
	awaitFree(t, b)
}

// TestAnnouncedBodyWithoutRoom checks that a body that cannot have room is refused before
// it is sent: for good if it never can, else until later.
func TestAnnouncedBodyWithoutRoom(t *testing.T) {
	s, b := listenWithMemory(t)
	announce := func(length, status int) {
		t.Helper()
		c := dial(t, s)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
		assert.NilError(t, c.Close())
	}
	announce(2*testMemory, http.StatusRequestEntityTooLarge)
	running := b.Hold(func() {})
	assert.NilError(t, running.Resize(testMemory/2))
	assert.NilError(t, running.Keep())
	announce(testMemory/2, http.StatusServiceUnavailable)
	announce(testMemory/8, http.StatusContinue)
	running.Release()
	awaitFree(t, b)
}

// TestDecodedSizeCounts guards against bodies that take far more memory once they are
// decoded.
func TestDecodedSizeCounts(t *testing.T) {
	s := listen(t, server.Options{
		Memory:      memory.NewReservedBudget(testMemory),
		DecodedSize: func(body []byte) int { return 100 * len(body) },
	}, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.ContentLength) })
	for length, status := range map[int]int{0: http.StatusOK, 7000: http.StatusOK, 8000: http.StatusRequestEntityTooLarge} {
		c := dial(t, s)
		sendLength(c, length, length)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status, "%d bytes", length)
	}
}

// TestRequestsReturnTheirMemory checks that requests that end in any way return what
// they held.
func TestRequestsReturnTheirMemory(t *testing.T) {
	s, b := listenWithMemory(t)
	const half = testMemory / 2
	ends := map[string]func(c net.Conn){
		"answered":   func(c net.Conn) { sendLength(c, half, half); _, _ = bufio.NewReader(c).Peek(1) },
		"gone":       func(c net.Conn) { sendLength(c, half, half-1) },
		"gone whole": func(c net.Conn) { sendLength(c, half, half) },
		"malformed":  func(c net.Conn) { fmt.Fprint(c, chunkedHead+"\r\n2\r\nbbb"); _, _ = bufio.NewReader(c).Peek(1) },
		"in the head": func(c net.Conn) {
			fmt.Fprint(c, headOf(testMaxHead)[:testMaxHead/2])
			time.Sleep(10 * time.Millisecond)
		},
		"two in line": func(c net.Conn) {
			sendLength(c, half/2, half/2)
			sendLength(c, half/2, half/2)
			_, _ = bufio.NewReader(c).Peek(1)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				c := dial(t, s)
				end(c)
				_ = c.Close()
			}
			awaitFree(t, b)
		})
	}
}

// TestUnreadAnswersAreNotMade guards against clients that ask for answers without end and
// do not read them.
func TestUnreadAnswersAreNotMade(t *testing.T) {
	const requests, size = 30, 1 << 20
	var made atomic.Int64
	s := listen(t, server.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		made.Add(1)
		fmt.Fprint(w, strings.Repeat("x", size))
	})
	c := dial(t, s)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	fmt.Fprint(c, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	for end := time.Now().Add(time.Second); time.Now().Before(end) && made.Load() < requests; time.Sleep(10 * time.Millisecond) {
	}
	assert.Check(t, made.Load() < requests, "%d answers were made, none was read", made.Load())
	// The answers are made as they are read.
	in := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
	}
}

// TestUnreadAnswersGiveWay guards against answers that are not read and leave no memory
// for others.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const limit, size, clients = 4 << 20, 16 << 20, 8
	s := listen(t, server.Options{Answers: memory.NewBudget(limit)}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ordinary" {
			fmt.Fprint(w, r.URL.Path)
			return
		}
		fmt.Fprint(w, strings.Repeat("x", size))
	})
	for range clients {
		c := dial(t, s)
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	for end := time.Now().Add(testTimeout); s.Connections() > 0; time.Sleep(time.Millisecond) {
		// None of the answers fits, whatever the kernel takes.
		assert.Assert(t, time.Now().Before(end), "%d connections are open", s.Connections())
	}
	ask(t, dial(t, s), "/ordinary")
}
