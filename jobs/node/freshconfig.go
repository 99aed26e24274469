package node

import (
	"context"
	"sync"
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

// configRead is the state of the reads of the configuration for requests.
type configRead struct {
	mu       sync.Mutex // held during a read
	err      error      // of the last one; nil: it succeeded
	failedAt int64      // when it failed, as uptimeNanos
}

// FreshCatalog implements gateway.JobService. It reads the configuration from the store if the watch has not confirmed it
// lately: the connection of a watch may have been cut without notice.
func (n *Node) FreshCatalog(ctx context.Context) (*job.Catalog, error) {
	read := &n.configRead
	read.mu.Lock() // requests that wait for a read share its result
	defer read.mu.Unlock()
	if n.configAge() <= maxRefusalConfigAge {
		return n.catalog.Load(), nil
	}
	if read.err != nil && time.Duration(n.uptimeNanos()-read.failedAt) < configReadTimeout {
		return nil, read.err
	}
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	began := n.uptimeNanos()
	item, found, err := n.store.Get(ctx, n.platform.Formats.ConfigKey, false)
	if err != nil {
		read.failedAt = n.uptimeNanos()
		read.err = verdict.Wrap(err, verdict.NotRun, codeConfigUnconfirmed, "the configuration is %s old and cannot be read", n.configAge().Round(time.Millisecond))
		return nil, read.err
	}
	read.err = nil
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
