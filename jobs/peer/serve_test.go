package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// acceptingHandler replies to Submitted and State calls as the owner.
type acceptingHandler struct{ stateHandler }

func (acceptingHandler) Submitted(SubmitRequest) SubmitReply { return SubmitReply{Owner: true} }

func serveWithin(t *testing.T, budget int64) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = ServeWithin(l, acceptingHandler{}, budget) }()
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// sendRaw sends bytes on a new connection, which stays open.
func sendRaw(t *testing.T, addr string, raw []byte) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = conn.Write(raw)
	require.NoError(t, err)
	return conn
}

// TestMessagesWithoutAnEndGiveWay guards against connections that fill the memory for calls of peers with messages
// which they do not finish.
func TestMessagesWithoutAnEndGiveWay(t *testing.T) {
	addr := serveWithin(t, 1<<20)
	const announced = 100_000
	for range 20 {
		sendRaw(t, addr, append([]byte{0xfd, announced >> 16, announced >> 8 & 0xff, announced & 0xff}, bytes.Repeat([]byte{1}, announced/2)...))
	}
	c := NewClient()
	reply, err := c.State(context.Background(), addr, "a")
	require.NoError(t, err)
	assert.True(t, reply.Owner)
	large, err := c.Submitted(context.Background(), addr, &job.Job{ID: "a", Payload: strings.Repeat("x", 200_000)})
	require.NoError(t, err)
	assert.True(t, large.Owner)
}

// TestMessagesBeyondTheBudgetAreRefused: their connection is closed as soon as their length is known.
func TestMessagesBeyondTheBudgetAreRefused(t *testing.T) {
	addr := serveWithin(t, 1<<20)
	for _, length := range [][]byte{{0xfd, 0x20, 0, 0}, {0xf8, 0, 0, 0, 0, 0, 0, 0, 1}} {
		_, err := io.ReadAll(sendRaw(t, addr, length))
		if err != nil {
			require.ErrorContains(t, err, "reset")
		}
	}
}

// TestMessagesOfAllSizes: calls are followed whatever their size and the number of bytes of their length.
func TestMessagesOfAllSizes(t *testing.T) {
	addr := serveWithin(t, 10<<20)
	c := NewClient()
	for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 4096, 65_535, 65_536, 1 << 20, 7 << 20} {
		reply, err := c.Submitted(context.Background(), addr, &job.Job{ID: "a", Payload: strings.Repeat("x", size)})
		require.NoError(t, err, "%d bytes", size)
		assert.True(t, reply.Owner)
	}
}
