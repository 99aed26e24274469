package node

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// watchOperators watches the operators' entries: the configuration, waves and evacuations.
func (n *Node) watchOperators(ctx context.Context) {
	n.watchPrefix(ctx, prefixWatch{
		prefix: n.platform.Formats.OperatorPrefix,
		reset:  n.evacuations.beginList,
		apply:  n.applyOperatorEntry,
		synced: n.onOperatorEntriesSynced,
	})
}

func (n *Node) applyOperatorEntry(e ledger.Event) {
	switch {
	case strings.HasPrefix(e.Key, n.platform.Formats.EvacuationPrefix):
		n.applyEvacuationEntry(e)
	case e.Deleted:
		n.refusedEntries.remove(e.Key)
	case e.Key == n.platform.Formats.ConfigKey:
		n.configure(e.Item)
	case strings.HasPrefix(e.Key, n.platform.Formats.WavePrefix):
		n.addWave(e.Item)
	}
}

// configure applies a configuration unless it is older than the current one. An invalid one
// leaves the current one in force.
func (n *Node) configure(i ledger.Item) {
	c, err := n.platform.Formats.DecodeCatalog(i.Value)
	if err != nil {
		n.refusedEntries.add(i.Key, i.Revision, err)
		return
	}
	n.refusedEntries.remove(i.Key)
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if old := n.catalog.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.catalog.Store(c)
	n.wakeElection()
	n.log.Info("configuration-applied", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
	if t := n.term.Load(); t != nil {
		t.enqueue(func(core *owner.Core, _ time.Time) { core.Configure(c) })
	}
}

// addWave adds a maintenance wave that operators have requested.
func (n *Node) addWave(i ledger.Item) {
	w, err := n.platform.Formats.DecodeWave(i.Value)
	if number := strings.TrimPrefix(i.Key, n.platform.Formats.WavePrefix); err == nil && number != strconv.Itoa(w.Wave) {
		err = fmt.Errorf("wave %d does not match the key %q", w.Wave, i.Key)
	}
	if err != nil {
		n.refusedEntries.add(i.Key, i.Revision, err)
		return
	}
	n.refusedEntries.remove(i.Key)
	n.wavesMu.Lock()
	n.waves[w.Wave] = w
	n.wavesMu.Unlock()
	if t := n.term.Load(); t != nil {
		t.enqueue(func(core *owner.Core, now time.Time) { core.OnWave(w, nil, false, now) })
	}
}
