package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// Key is a caller's Idempotency-Key: a UUIDv7, whose time tells an owner
// whether its table is complete for it.
type Key string

// ParseKey checks that s is a UUIDv7 in its canonical form.
func ParseKey(s string) (Key, bool) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 || id.String() != s {
		return "", false
	}
	return Key(s), true
}

// Time returns when the key was made, by its maker's clock.
func (k Key) Time() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	const bitsAfterTime = 80
	ms := int64(0)
	for _, b := range id[:(128-bitsAfterTime)/8] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// PartitionCount is the number of partitions of the key space.
const PartitionCount = 64

// Partition is one part of the key space.
type Partition int

// Partition returns the partition k belongs to.
func (k Key) Partition() Partition {
	return Partition(rendezvous.Hash(string(k)) % PartitionCount)
}

// Owner returns the member of v that owns partition p.
func Owner(v *fleet.View, p Partition) fleet.Incarnation {
	return rendezvous.Owner(v.Incarnations(), partitionKey(p))
}
