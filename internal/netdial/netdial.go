// Package netdial opens TCP connections that are closed soon after the peer stops
// acknowledging data. No reset arrives if the network is partitioned, or if a middlebox has
// dropped the connection's state.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options of all connections.
const (
	// tcpUserTimeout is the time after which a connection is closed if the peer's kernel does not
	// acknowledge data. It allows two retransmissions at 200 ms with round trips of 1 to 8 ms. A
	// process that is slow to answer is not affected.
	tcpUserTimeout = 500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the minimum that the kernel accepts.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1 // unanswered probes until the connection is closed
)

// Dialer returns a dialer of such connections. timeout bounds the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setTCPUserTimeout,
	}
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket. It has the signature of net.Dialer.Control.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
