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
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// stubHandler replies to heartbeats immediately and to claims after release is closed.
type stubHandler struct {
	port.PeerServer
	release chan struct{}
}

func (h *stubHandler) OnHeartbeat(b port.Heartbeat) port.HeartbeatReply {
	return port.HeartbeatReply{From: "stub", Epoch: b.Epoch, Revision: b.Revision}
}
func (h *stubHandler) OnClaim(idempotency.Request) idempotency.Reply {
	<-h.release
	return idempotency.Reply{Result: idempotency.Granted}
}
func (h *stubHandler) OnReturn([]slots.LoanID) {}

const token = "a-token-of-the-tests"

// startServer starts a server whose handler is a stubHandler.
func startServer(t *testing.T) (addr string, s *Server, h *stubHandler) {
	h = &stubHandler{release: make(chan struct{})}
	s = NewServer(token, h, &ByteCounts{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String(), s, h
}

func TestCallsReturnReplies(t *testing.T) {
	addr, _, h := startServer(t)
	close(h.release)
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	r, err := c.Heartbeat(context.Background(), addr, port.Heartbeat{Epoch: 7, Revision: fleet.Revision(9)})
	require.NoError(t, err)
	assert.Equal(t, port.HeartbeatReply{From: "stub", Epoch: 7, Revision: 9}, r)
	require.NoError(t, c.Return(context.Background(), addr, []slots.LoanID{"l"}))
	reply, err := c.Claim(context.Background(), addr, idempotency.Request{})
	require.NoError(t, err)
	assert.Equal(t, idempotency.Granted, reply.Result)
	assert.Positive(t, c.Bytes.Out.Load())
}

func TestCancelledCallFails(t *testing.T) {
	addr, _, h := startServer(t)
	c := NewClient(token, time.Second, 10*time.Second)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Claim(ctx, addr, idempotency.Request{})
	require.Error(t, err)
	close(h.release)
}

// TestCallTimeoutKeepsOtherCalls guards against a timed-out call that closes the connection
// which all calls to a peer share. The other calls in progress then failed as ones that may
// have run; a request was abandoned because its claim, about to be granted, failed this way.
func TestCallTimeoutKeepsOtherCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &slowHandler{stubHandler: &stubHandler{release: make(chan struct{})}, claimed: make(chan struct{}, 1)}
	s := NewServer(token, h, &ByteCounts{})
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
		_, err := c.Claim(context.Background(), addr, idempotency.Request{})
		claimed <- err
	}()
	<-h.claimed
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = c.Heartbeat(ctx, addr, port.Heartbeat{})
	require.Error(t, err)
	close(h.release)
	assert.NoError(t, <-claimed)
	_, err = c.Heartbeat(context.Background(), addr, port.Heartbeat{})
	assert.NoError(t, err, "the next call uses another connection")
}

// slowHandler also delays heartbeats until release is closed, and signals each claim on
// claimed.
type slowHandler struct {
	*stubHandler
	claimed chan struct{}
}

func (h *slowHandler) OnClaim(r idempotency.Request) idempotency.Reply {
	h.claimed <- struct{}{}
	return h.stubHandler.OnClaim(r)
}

func (h *slowHandler) OnHeartbeat(b port.Heartbeat) port.HeartbeatReply {
	<-h.release
	return h.stubHandler.OnHeartbeat(b)
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
