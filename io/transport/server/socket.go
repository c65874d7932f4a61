package server

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package
	// does not name.
	tcpUserTimeout = 18
	// unackedTimeoutMillis is how long sent data may stay unacknowledged before
	// the kernel closes the connection.
	unackedTimeoutMillis = 15_000
)

// keepAliveProbes makes the kernel detect an idle connection whose other end is
// gone.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may stay
// unacknowledged. Accepted connections inherit it from the listening socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return inner
}
