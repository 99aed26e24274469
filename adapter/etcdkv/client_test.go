package etcdkv

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
