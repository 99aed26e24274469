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

// blockingHandler answers when it is let.
type blockingHandler struct {
	Handler
	received chan struct{} // one token for each job told
	release  chan struct{}
}

func (g blockingHandler) Submitted(SubmitRequest) SubmitReply {
	g.received <- struct{}{}
	<-g.release
	return SubmitReply{}
}

func (g blockingHandler) State(StateRequest) StateReply { <-g.release; return StateReply{Owner: true} }

// TestLateAnswerDoesNotFailOtherCalls: with an owner short of processor time one question that
// was answered late closed the one connection to it, and with it failed every other call
// that was under way there: jobs told to the owner, questions, calls to the store by way
// of it, all of which were then made again on a new connection. The owner had done their
// work already, and did it twice. Each of them must get its answer all the same.
func TestLateAnswerDoesNotFailOtherCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := blockingHandler{received: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = Serve(l, h) }()
	t.Cleanup(func() { l.Close() })
	addr := l.Addr().String()
	c := NewClient()

	told := make(chan error, 1)
	go func() {
		_, err := c.Submitted(context.Background(), addr, &job.Job{ID: "a"})
		told <- err
	}()
	<-h.received
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = c.State(ctx, addr, "b")
	require.Error(t, err)
	close(h.release)
	assert.NoError(t, <-told)

	_, err = c.State(context.Background(), addr, "b")
	assert.NoError(t, err, "the next call goes by another connection")
}
