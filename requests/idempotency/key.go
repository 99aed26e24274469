package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// Key is a caller's Idempotency-Key. It is a UUIDv7: an owner compares its
// timestamp with the time from which on its table is complete.
type Key string

// ParseKey returns s as a key. It returns false if s isn't a UUIDv7 in canonical
// form.
func ParseKey(s string) (Key, bool) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 || id.String() != s {
		return "", false
	}
	return Key(s), true
}

// Time returns the timestamp of the key, set by the caller's clock.
func (k Key) Time() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	const timestampBytes = 6 // a UUIDv7 starts with 48 bits of Unix milliseconds (RFC 9562)
	ms := int64(0)
	for _, b := range id[:timestampBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// PartitionCount is the number of partitions of the key space. All daemons must
// use the same value.
const PartitionCount = 64

// Partition numbers a partition of the key space, from 0.
type Partition int

// Partition returns the partition of k.
func (k Key) Partition() Partition {
	return Partition(rendezvous.Hash(string(k)) % PartitionCount)
}

// Owner returns the member of v that owns partition p.
func Owner(v *fleet.View, p Partition) fleet.Incarnation {
	return rendezvous.Owner(v.Incarnations(), partitionKey(p))
}
