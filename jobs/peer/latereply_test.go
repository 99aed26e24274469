package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// blockingHandler replies to Submitted and State only once release is closed.
type blockingHandler struct {
	Handler
	received chan struct{} // one token per Submitted call
	release  chan struct{}
}

func (h blockingHandler) Submitted(SubmitRequest) SubmitReply {
	h.received <- struct{}{}
	<-h.release
	return SubmitReply{}
}

func (h blockingHandler) State(StateRequest) StateReply { <-h.release; return StateReply{Owner: true} }

// TestLateReplyDoesNotFailOtherCalls guards against an owner that does work twice because it is
// short of CPU. If one late reply closed the only connection to it, all other calls in flight there
// (new jobs, queries, relayed store calls) would fail and be repeated on a new connection.
func TestLateReplyDoesNotFailOtherCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := blockingHandler{received: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = Serve(l, h) }()
	t.Cleanup(func() { l.Close() })
	addr := l.Addr().String()
	c := NewClient()

	submitted := make(chan error, 1)
	go func() {
		_, err := c.Submitted(context.Background(), addr, &job.Job{ID: "a"})
		submitted <- err
	}()
	<-h.received
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = c.State(ctx, addr, "b")
	require.Error(t, err)
	close(h.release)
	assert.NoError(t, <-submitted)

	_, err = c.State(context.Background(), addr, "b")
	assert.NoError(t, err, "the next call uses another connection")
}
