package etcdkv

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/internal/silentlink"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// TestACancelledWatchIsCompactedOnlyIfTheStoreSaysSo: a store cancels a watch for other reasons than
// compaction too. All records are read again only after a compaction.
func TestACancelledWatchIsCompactedOnlyIfTheStoreSaysSo(t *testing.T) {
	for answer, want := range map[string]verdict.Code{
		`{"result":{"canceled":true,"compact_revision":"12","cancel_reason":"required revision has been compacted"}}`: port.CodeStoreCompacted,
		`{"result":{"canceled":true,"cancel_reason":"etcdserver: permission denied"}}`:                                port.CodeStoreUnavailable,
		`{"result":{"canceled":true}}`: port.CodeStoreUnavailable,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
		c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), Timeout: time.Second, WatchIdleTimeout: time.Second})
		err := c.Watch(context.Background(), "p/", 3, func([]port.Event) { t.Error("no events were sent") })
		require.Error(t, err)
		assert.Equal(t, want, verdict.CodeOf(err), answer)
		assert.Equal(t, verdict.NotRun, verdict.Of(err))
		c.Close()
		srv.Close()
	}
}

// TestSilentConnectionsCostOneCall: the open connections to the store go silent. One call times out,
// the next ones use new connections.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	const concurrent = 3
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond) // concurrent calls use connections of their own
		_, _ = io.WriteString(w, `{}`)
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	link, err := silentlink.New(strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(link.Close)
	c := New(Options{Addr: link.Addr(), Timeout: 300 * time.Millisecond, WatchIdleTimeout: time.Second})
	get := func() error { _, _, err := c.Get(context.Background(), "k"); return err }
	var calls sync.WaitGroup
	for range concurrent {
		calls.Go(func() { assert.NoError(t, get()) })
	}
	calls.Wait()
	require.Equal(t, concurrent, link.Opened())
	link.GoSilent()
	require.Error(t, get())
	for range concurrent {
		assert.NoError(t, get())
	}
}
