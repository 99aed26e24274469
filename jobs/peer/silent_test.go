package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/internal/silentlink"
	"github.com/postmount/postmount/jobs/job"
)

// answeringHandler answers all calls.
type answeringHandler struct{ Handler }

func (answeringHandler) Submitted(SubmitRequest) SubmitReply { return SubmitReply{} }
func (answeringHandler) State(StateRequest) StateReply       { return StateReply{Owner: true} }
func (answeringHandler) Relay(RelayRequest) RelayReply       { return RelayReply{Found: true} }

// serveSilently serves peers' calls behind a link whose connections can go silent.
func serveSilently(t *testing.T) *silentlink.Link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = Serve(l, answeringHandler{}) }()
	t.Cleanup(func() { l.Close() })
	link, err := silentlink.New(l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(link.Close)
	return link
}

// TestASilentConnectionIsReplaced: once the open connection to a peer goes silent, without a reset,
// a query is answered over a new one before its deadline. A call that is not repeated fails once.
func TestASilentConnectionIsReplaced(t *testing.T) {
	const timeout = 300 * time.Millisecond
	link := serveSilently(t)
	c := NewClient()
	withTimeout := func(call func(ctx context.Context) error) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return call(ctx)
	}
	state := func(ctx context.Context) error { _, err := c.State(ctx, link.Addr(), "a"); return err }
	submitted := func(ctx context.Context) error {
		_, err := c.Submitted(ctx, link.Addr(), &job.Job{ID: "a"})
		return err
	}
	relay := func(ctx context.Context) error {
		_, err := c.Relay(ctx, link.Addr(), RelayRequest{})
		return err
	}
	require.NoError(t, withTimeout(state))
	link.GoSilent()
	assert.NoError(t, withTimeout(state), "a query is repeated on a new connection")
	for _, call := range []func(context.Context) error{submitted, relay} {
		require.NoError(t, withTimeout(call))
		link.GoSilent()
		assert.Error(t, withTimeout(call), "it is not repeated, as it may have run")
		assert.NoError(t, withTimeout(call))
	}
}

// TestASilentWatchOfThePeerEnds guards against a daemon that never learns of the owner's end because
// the connection on which it waits for that has gone silent.
func TestASilentWatchOfThePeerEnds(t *testing.T) {
	link := serveSilently(t)
	c := NewClient()
	ctx, cancel := context.WithTimeout(context.Background(), 10*stayTime)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.AwaitDisconnect(ctx, link.Addr()) }()
	require.Eventually(t, func() bool { return link.Opened() == 1 }, time.Second, time.Millisecond)
	select {
	case err := <-ended:
		require.NoError(t, err)
		t.Fatal("the peer is there and answers")
	case <-time.After(stayTime + stayMargin + 200*time.Millisecond):
	}
	link.GoSilent()
	silentAt := time.Now()
	require.Error(t, <-ended)
	assert.Less(t, time.Since(silentAt), stayTime+stayMargin+time.Second)
}
