package lab

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/requests/entry"
)

// benchPath sends requests without service time to addr, in parallel.
func benchPath(b *testing.B, addr string, keyed bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			method, path := http.MethodGet, "/retail/x"
			if keyed {
				method, path = http.MethodPost, "/order/x"
			}
			req, _ := http.NewRequest(method, "http://"+addr+path, struct{ io.Reader }{bytes.NewReader([]byte("order"))})
			req.ContentLength = 5
			req.Host = Host("desk")
			if keyed {
				req.Header.Set(entry.HeaderKey, uuid.Must(uuid.NewV7()).String())
			}
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Error(resp.Status)
				return
			}
		}
	})
}

// BenchmarkPath compares a request through an entry daemon with one sent directly to a worker.
// Caller, daemon and worker share the process, so the allocations are those of all three.
func BenchmarkPath(b *testing.B) {
	f, err := NewFixture(singleServiceTopology(6, Class{Name: "retail", Weight: 1, Rate: 1, Availability: 99}, Class{Name: "order", Weight: 1, Rate: 1, Keyed: true, Availability: 99}), 3, nil, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	if err := f.Exec(ctx, f.Topology.Statements()); err != nil {
		b.Fatal(err)
	}
	b.Run("direct", func(b *testing.B) { benchPath(b, f.Workers.Specs()[0].Addr, false) })
	b.Run("through", func(b *testing.B) { benchPath(b, f.TrafficAddrs()[0], false) })
	b.Run("keyed", func(b *testing.B) { benchPath(b, f.TrafficAddrs()[0], true) })
}
