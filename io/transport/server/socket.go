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
	// unackedMillis is how long sent data may stay unacknowledged before the
	// kernel closes the connection.
	unackedMillis = 15_000
)

// probes lets the kernel notice an idle connection whose other end is gone.
var probes = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// setUserTimeout bounds how long written data may stay unacknowledged.
// Accepted connections inherit it from the listening socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedMillis)
	})
	if err != nil {
		return err
	}
	return inner
}
