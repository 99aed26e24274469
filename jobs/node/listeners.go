package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/connlimit"
	"github.com/postmount/postmount/jobs/peer"
)

// Timeouts of connections. Those of callers are longer than those of the operators' configuration, which is read only
// after the listeners are open.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// Limits of the headers of requests in bytes.
const (
	// defaultHeaderBytes applies to callers if the configuration sets no limit.
	defaultHeaderBytes = 32 << 10
	// maxHeaderBytes is the largest limit that the configuration can set.
	maxHeaderBytes = 1 << 20
	// probeHeaderBytes applies to health checks and reads of the metrics.
	probeHeaderBytes = 8 << 10
)

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (n *Node) listen() (l listeners, err error) {
	for _, listener := range []struct {
		target      *net.Listener
		name, addr  string
		conns       int
		headerLimit func() int
	}{
		{&l.callers, "callers", n.settings.CallersAddr, n.settings.maxCallerConns(), n.headerLimit},
		{&l.ready, "ready", n.settings.ReadyAddr, n.settings.maxConns(readyFDShare), nil},
		{&l.peers, "peers", n.settings.peerAddr(), n.settings.maxConns(peerFDShare), nil},
		{&l.metrics, "metrics", fmt.Sprintf("%s:%d", n.settings.IP, n.settings.MetricsPort), n.settings.maxConns(metricsFDShare), nil},
	} {
		raw, err := net.Listen("tcp", listener.addr)
		if err != nil {
			return l, err
		}
		*listener.target = connlimit.New(raw, listener.conns, listener.headerLimit, func(why connlimit.Reason) { n.onConnClosed(listener.name, why) })
	}
	return l, nil
}

// onConnClosed records a connection that was closed because of a limit.
func (n *Node) onConnClosed(listener string, why connlimit.Reason) {
	n.metrics.connClosed(listener, string(why))
	n.log.Info("connection-closed", zap.String("listener", listener), zap.String("why", string(why)))
}

// headerLimit returns the limit of the header of a caller's request in bytes.
func (n *Node) headerLimit() int {
	if c := n.catalog.Load(); c != nil && c.Limits.HeaderBytes > 0 {
		return min(c.Limits.HeaderBytes, maxHeaderBytes)
	}
	return defaultHeaderBytes
}

// callersServer returns the server of callers' requests, whose contexts end with ctx.
func (n *Node) callersServer(ctx context.Context) *http.Server {
	s := &http.Server{
		Handler: n.gateway, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	connlimit.Configure(s)
	return s
}

// probeServer returns a server of requests without bodies: health checks and reads of the metrics.
func probeServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: probeHeaderBytes}
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		n.log.Error("listener-failed", zap.String("addr", l.Addr().String()), zap.Error(err))
	}
}

func (n *Node) servePeers(l net.Listener) {
	if err := peer.ServeWithin(l, n.PeerHandler(), n.settings.bodyBudget()); err != nil {
		n.log.Error("listener-failed", zap.String("addr", l.Addr().String()), zap.Error(err))
	}
}
