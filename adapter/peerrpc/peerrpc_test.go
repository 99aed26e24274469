package peerrpc

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/once"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// echo answers heartbeats and blocks claims until released.
type echo struct {
	port.PeerServer
	release chan struct{}
}

func (e *echo) OnHeartbeat(b port.Heartbeat) port.HeartbeatReply {
	return port.HeartbeatReply{From: "echo", Epoch: b.Epoch, Revision: b.Revision}
}
func (e *echo) OnClaim(once.Request) once.Reply {
	<-e.release
	return once.Reply{Result: once.Granted}
}
func (e *echo) OnReturn([]slots.LoanID) {}

const token = "a-token-of-the-tests"

func startServer(t *testing.T) (addr string, s *Server, e *echo) {
	e = &echo{release: make(chan struct{})}
	s = NewServer(token, e, &ByteCounts{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String(), s, e
}

func TestCallsReturnReplies(t *testing.T) {
	addr, _, e := startServer(t)
	close(e.release)
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	r, err := c.Heartbeat(context.Background(), addr, port.Heartbeat{Epoch: 7, Revision: fleet.Revision(9)})
	require.NoError(t, err)
	assert.Equal(t, port.HeartbeatReply{From: "echo", Epoch: 7, Revision: 9}, r)
	require.NoError(t, c.Return(context.Background(), addr, []slots.LoanID{"l"}))
	reply, err := c.Claim(context.Background(), addr, once.Request{})
	require.NoError(t, err)
	assert.Equal(t, once.Granted, reply.Result)
	assert.Positive(t, c.Bytes.Out.Load())
}

func TestCancelledCallFails(t *testing.T) {
	addr, _, e := startServer(t)
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Claim(ctx, addr, once.Request{})
	require.Error(t, err)
	close(e.release)
}

// TestCallTimeoutKeepsOtherCalls guards against a timed-out call that closes the connection
// which all calls to a peer share. The other calls in progress then failed as ones that may
// have run; a request was abandoned because its claim, about to be granted, failed this way.
func TestCallTimeoutKeepsOtherCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &slowEcho{echo: &echo{release: make(chan struct{})}, claimed: make(chan struct{}, 1)}
	s := NewServer(token, e, &ByteCounts{})
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	addr := l.Addr().String()
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	claimed := make(chan error, 1)
	go func() {
		_, err := c.Claim(context.Background(), addr, once.Request{})
		claimed <- err
	}()
	<-e.claimed
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = c.Heartbeat(ctx, addr, port.Heartbeat{})
	require.Error(t, err)
	close(e.release)
	assert.NoError(t, <-claimed)
	_, err = c.Heartbeat(context.Background(), addr, port.Heartbeat{})
	assert.NoError(t, err, "the next call uses another connection")
}

// slowEcho signals claims on claimed, and blocks heartbeats as well until released.
type slowEcho struct {
	*echo
	claimed chan struct{}
}

func (e *slowEcho) OnClaim(r once.Request) once.Reply {
	e.claimed <- struct{}{}
	return e.echo.OnClaim(r)
}

func (e *slowEcho) OnHeartbeat(b port.Heartbeat) port.HeartbeatReply {
	<-e.release
	return e.echo.OnHeartbeat(b)
}

func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, err = NewClient(token, time.Second, time.Second).Heartbeat(context.Background(), addr, port.Heartbeat{})
	assert.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestInvalidHandshakeIsRejected(t *testing.T) {
	for name, text := range map[string][]byte{
		"wrong token":     []byte(handshakePrefix + "another\n"),
		"another program": []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"endless line":    bytes.Repeat([]byte("x"), 10*maxHandshakeBytes),
		"binary":          bytes.Repeat([]byte{0xff, 0, '\n'}, 100),
	} {
		t.Run(name, func(t *testing.T) {
			addr, s, _ := startServer(t)
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer conn.Close()
			_, _ = conn.Write(text)
			_, err = conn.Read(make([]byte, 1))
			assert.Error(t, err, "the connection is closed")
			assert.EqualValues(t, 1, s.Rejected.Load())
		})
	}
}

func TestInvalidRPCDataClosesOnlyItsConnection(t *testing.T) {
	addr, _, _ := startServer(t)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_, _ = conn.Write(append([]byte(handshakePrefix+token+"\n"), bytes.Repeat([]byte{0x7f}, 4096)...))
	_, err = conn.Read(make([]byte, 1))
	assert.Error(t, err)
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	_, err = c.Heartbeat(context.Background(), addr, port.Heartbeat{})
	assert.NoError(t, err, "other connections are served")
}
