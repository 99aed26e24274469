package backendhttp

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/internal/silentlink"
)

// TestSilentConnectionsCostOneRequest: the open connections to a worker go silent. One request times
// out, the next ones use new connections.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	const concurrent, timeout = 3, 300 * time.Millisecond
	addr, _ := backendServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond) // concurrent requests use connections of their own
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	})
	link, err := silentlink.New(addr)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	c := newClient()
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := c.Send(ctx, request(link.Addr(), "buy"))
		return err
	}
	var sends sync.WaitGroup
	for range concurrent {
		sends.Go(func() { assert.NoError(t, send()) })
	}
	sends.Wait()
	require.Equal(t, concurrent, link.Opened())
	link.GoSilent()
	require.Error(t, send())
	for range concurrent {
		assert.NoError(t, send())
	}
}
