package ledger

import (
	"fmt"
	"maps"
	"strconv"

	"github.com/postmount/postmount/jobs/owner"
)

// SettledKey returns the key of a shard of the settled incarnations.
func SettledKey(shard int) string { return prefixSettled + fmt.Sprintf("%02x", shard) }

// SettledPut returns the put that stores a shard of the settled incarnations: start times by worker.
func SettledPut(shard int, startedMs map[owner.WorkerID]int64) Put {
	return Put{Key: SettledKey(shard), Value: encode(startedMs)}
}

// addSettled combines the shards of the settled incarnations. The incarnations in an invalid one are not known
// to be settled.
func (s *Snapshot) addSettled(items []Item) {
	s.Settled = map[owner.WorkerID]int64{}
	for _, i := range items {
		shard, err := decodeSettled(i)
		if err != nil {
			s.addRefused(i, err)
			continue
		}
		maps.Copy(s.Settled, shard)
	}
}

// decodeSettled decodes and validates an item under prefixSettled.
func decodeSettled(i Item) (map[owner.WorkerID]int64, error) {
	shard, err := strconv.ParseUint(i.Key[len(prefixSettled):], 16, 8)
	if err != nil || i.Key != SettledKey(int(shard)) || shard >= owner.SettledShards {
		return nil, fmt.Errorf("key %s: not a shard of the settled incarnations", i.Key)
	}
	startedMs, err := decode[map[owner.WorkerID]int64](i)
	if err != nil {
		return nil, err
	}
	for id := range startedMs {
		if id == "" || owner.SettledShard(id) != int(shard) {
			return nil, fmt.Errorf("key %s: worker %q is not of this shard", i.Key, id)
		}
	}
	return startedMs, nil
}
