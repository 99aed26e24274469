// Package netdial opens TCP connections that end when the other side has gone
// silent: a partition, or a device on the way that dropped the connection's state,
// sends no reset.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of all connections.
const (
	// unackedTimeout ends a connection whose bytes are not acknowledged by the
	// other side's kernel: two retransmissions of 200 ms fit, at 1 to 8 ms a round
	// trip. A process that is slow to answer is not concerned.
	unackedTimeout = 500 * time.Millisecond
	// probeIdle and probeEvery say when an idle connection is probed. They are
	// the least that the kernel takes.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 1
)

// Dialer returns a dialer of such connections that gives up after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         setUnackedTimeout,
	}
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
