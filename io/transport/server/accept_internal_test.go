package server

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// shortListener is a listener without descriptors for its first connections.
type shortListener struct {
	net.Listener
	errors []error
}

func (l *shortListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept", err)}
	}
	return l.Listener.Accept()
}

// TestAcceptGoesOnAfterAShortage guards against an accept loop that ends or spins while
// there are no descriptors.
func TestAcceptGoesOnAfterAShortage(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := newListener(&shortListener{Listener: inner, errors: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}})
	l.log = logr.Discard()
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
}
