package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// receiveBytes is the size of the kernel's buffer for what arrives, so that a
	// body doesn't fit.
	receiveBytes = 4 << 10
	// readTime is how long the other end has to read an answer before its connection
	// ends.
	readTime = 10 * time.Millisecond
)

// Upstream listens on a loopback port until it is closed.
type Upstream struct {
	listener net.Listener
	answer   func(head *http.Request) string
	end      func(c *net.TCPConn)
}

// Start starts an upstream that sends what answer returns for the head of a request, and
// then calls end. It takes one request from each connection.
func Start(answer func(head *http.Request) string, end func(c *net.TCPConn)) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{listener: l, answer: answer, end: end}
	go u.accept()
	return u, nil
}

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// Close stops listening.
func (u *Upstream) Close() { _ = u.listener.Close() }

// Reset resets a connection.
func Reset(c *net.TCPConn) { _ = c.SetLinger(0) }

func (u *Upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go u.serve(tcp)
		}
	}
}

func (u *Upstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(receiveBytes)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, u.answer(r))
	time.Sleep(readTime)
	u.end(c)
}
