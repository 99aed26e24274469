package node

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

// FuzzEvacuationEntries: whatever entries operators write, each line a key under the prefix, and take
// back ("-"), the evacuated zones are those whose entry exists, also after all were read again.
func FuzzEvacuationEntries(f *testing.F) {
	f.Add("a\nb\n-a")
	f.Add("a\n-a\na\n-b")
	f.Add("\n-\n")
	f.Add("a/b\n../a\n \n-\xff\n\xff")
	f.Fuzz(func(t *testing.T, lines string) {
		const prefix = "op/evacuate/"
		metrics := NewMetrics(tally.NoopScope, nil)
		n := &Node{log: zap.NewNop(), metrics: metrics, refusedEntries: newRefusedEntries(zap.NewNop(), metrics)}
		n.platform.Formats.EvacuationPrefix = prefix
		entries := map[string]bool{}
		check := func() {
			var zones []string
			for zone := range entries {
				if zone != "" {
					zones = append(zones, zone)
				}
			}
			slices.Sort(zones)
			require.Equal(t, zones, n.evacuations.list())
			_, refused := n.refusedEntries.refused[prefix]
			require.Equal(t, entries[""], refused, "an entry without a zone is refused while it exists")
		}
		for _, line := range strings.Split(lines, "\n") {
			zone, deleted := strings.CutPrefix(line, "-")
			n.applyEvacuationEntry(ledger.Event{Item: ledger.Item{Key: prefix + zone}, Deleted: deleted})
			if deleted {
				delete(entries, zone)
			} else {
				entries[zone] = true
			}
			check()
		}
		n.evacuations.beginList()
		for zone := range entries {
			n.applyEvacuationEntry(ledger.Event{Item: ledger.Item{Key: prefix + zone}})
		}
		n.evacuations.endList()
		check()
	})
}
