package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/postmount/postmount/internal/bytebudget"
)

const (
	// defaultMessageBudget is the memory in bytes for messages that are being received by Serve.
	defaultMessageBudget = 32 << 20
	// messageTimeout bounds the time until the first call of a connection, and from the first byte of each message to
	// its last. Calls time out earlier.
	messageTimeout = 10 * time.Second
	// minMessageIdle is how long a message must not have progressed before its memory is taken for others. A peer that
	// waits for that closes its connection after the TCP user timeout of package netdial.
	minMessageIdle = 100 * time.Millisecond
	// acceptRetryPause follows a connection that could not be accepted, for lack of a descriptor.
	acceptRetryPause = 10 * time.Millisecond
)

// Serve handles calls of peers on l until it is closed.
func Serve(l net.Listener, h Handler) error { return ServeWithin(l, h, defaultMessageBudget) }

// ServeWithin is like Serve and bounds the memory in bytes of messages that are being received, over all
// connections.
func ServeWithin(l net.Listener, h Handler, budget int64) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &server{h}); err != nil {
		return err
	}
	messages := bytebudget.New(budget, minMessageIdle)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		go srv.ServeConn(newMessageConn(conn, messages, budget))
	}
}

// messageConn follows the messages of encoding/gob on a connection. It reserves the memory of each, before its decoder
// allocates that, and closes the connection if a message does not arrive within messageTimeout.
type messageConn struct {
	net.Conn
	share    *bytebudget.Share
	max      int64 // bytes of a message
	prefix   int   // bytes of the length that are missing
	length   int64 // as far as it was read
	missing  int64 // bytes of the message that are missing
	messages bool  // at least one was complete
}

func newMessageConn(conn net.Conn, budget *bytebudget.Budget, maxBytes int64) *messageConn {
	c := &messageConn{Conn: conn, max: maxBytes}
	c.share = budget.Open(func() { _ = conn.Close() }) // its reader sees the error
	c.startTimer()
	return c
}

func (c *messageConn) startTimer() {
	_ = c.SetReadDeadline(time.Now().Add(messageTimeout)) // fails only if the connection is closed
}

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.share.Progress(n)
	if scanErr := c.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *messageConn) Close() error {
	c.share.Close()
	return c.Conn.Close()
}

// scan follows the messages in the bytes received: each begins with its length as encoding/gob writes unsigned
// numbers, in one byte below 128, or as a byte with the negated number of bytes that follow.
func (c *messageConn) scan(p []byte) error {
	for len(p) > 0 {
		switch {
		case c.missing > 0:
			n := min(c.missing, int64(len(p)))
			p = p[n:]
			if c.missing -= n; c.missing == 0 {
				c.endMessage()
			}
			continue
		case c.prefix > 0:
			c.length = c.length<<8 | int64(p[0])
			c.prefix--
		case p[0] < 0x80:
			c.startTimer()
			c.length = int64(p[0])
		default:
			c.startTimer()
			c.prefix, c.length = -int(int8(p[0])), 0
			if c.prefix > 4 { // longer than any message
				return fmt.Errorf("message with a length of %d bytes", c.prefix)
			}
		}
		p = p[1:]
		if c.prefix == 0 {
			if err := c.beginMessage(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *messageConn) beginMessage() error {
	if c.length > c.max {
		return fmt.Errorf("message of %d bytes, want at most %d", c.length, c.max)
	}
	if err := c.share.Grow(context.Background(), c.length); err != nil {
		return err
	}
	if c.missing = c.length; c.missing == 0 {
		c.endMessage()
	}
	return nil
}

func (c *messageConn) endMessage() {
	c.share.Shrink()
	_ = c.SetReadDeadline(time.Time{}) // as in startTimer
	if e, ok := c.Conn.(interface{ Establish() }); ok && !c.messages {
		e.Establish()
	}
	c.messages = true
}
