package node

import (
	"context"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

const (
	// maxRefusalConfigAge is how long ago the configuration may have been the newest for a request to be refused by it
	// for good. It is half of the time within which a new one has to be in force.
	maxRefusalConfigAge = time.Second
	// configReadTimeout bounds the read of the configuration for such a request. The store answers in 4 ms, and in
	// 300 ms while it is slow.
	configReadTimeout = 500 * time.Millisecond
)

// codeConfigUnconfirmed means that the configuration may not be the newest.
const codeConfigUnconfirmed verdict.Code = "configuration-unconfirmed"

// FreshCatalog implements gateway.JobService. It reads the configuration from the store if the watch has not confirmed it
// lately: the connection of a watch may have been cut without notice.
func (n *Node) FreshCatalog(ctx context.Context) (*job.Catalog, error) {
	n.configReadMu.Lock() // requests that wait for one read share its result
	defer n.configReadMu.Unlock()
	if n.configAge() <= maxRefusalConfigAge {
		return n.catalog.Load(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	began := n.uptimeNanos()
	item, found, err := n.store.Get(ctx, n.platform.Formats.ConfigKey, false)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, codeConfigUnconfirmed, "the configuration is %s old and cannot be read", n.configAge().Round(time.Millisecond))
	}
	if found {
		n.configure(item)
	}
	n.confirmConfig(began)
	return n.catalog.Load(), nil
}

// configAge returns how long ago the configuration was last known to be the newest.
func (n *Node) configAge() time.Duration {
	return time.Duration(n.uptimeNanos() - n.configConfirmedAt.Load())
}

// confirmConfig records that the configuration was the newest at the time at, as uptimeNanos.
func (n *Node) confirmConfig(at int64) {
	for {
		known := n.configConfirmedAt.Load()
		if at <= known || n.configConfirmedAt.CompareAndSwap(known, at) {
			return
		}
	}
}
