// Package fleet defines the domain types that the other packages share: the records
// in the platform's key-value store and the instances as the platform reports them. It
// imports no other package of postmount.
package fleet

import (
	"maps"
	"slices"
)

// Revision is the store's modification revision of a record. It never decreases.
type Revision int64

// Membership assigns an instance to a pool. There is one per instance; they are
// stored in a fixed number of shard records.
type Membership struct {
	Instance InstanceID
	Pool     PoolName
	// Joining is true after a move until the instance is in service in its new
	// pool. A joining instance does not count towards the pool's size.
	Joining bool `json:",omitempty"`
}

// MemberShard is one shard record of memberships.
type MemberShard struct {
	Members []Membership
	Applied CommandLog `json:",omitempty"`
}

// Clone returns a deep copy of s.
func (s *MemberShard) Clone() *MemberShard {
	return &MemberShard{Members: slices.Clone(s.Members), Applied: slices.Clone(s.Applied)}
}

// Find returns the membership of id, or nil.
func (s *MemberShard) Find(id InstanceID) *Membership {
	for i := range s.Members {
		if s.Members[i].Instance == id {
			return &s.Members[i]
		}
	}
	return nil
}

// Versioned is a record with the store revision at which it was read.
type Versioned[T any] struct {
	Value    *T
	Revision Revision
	// Tokens are the writer tokens of the record's last writes, oldest first. They
	// show whether a write whose answer was lost took effect.
	Tokens []string
}

// State is an immutable snapshot of one daemon's copy of every record. Readers must
// not change anything reachable from it.
type State struct {
	Revision Revision // of the newest change included
	Config   Versioned[Config]
	Pools    map[PoolName]Versioned[Pool]
	Shards   map[int]Versioned[MemberShard]
	Waves    map[WaveName]Versioned[Wave]
	Jobs     map[PoolName]Versioned[JobSet]
	View     Versioned[View]
	Entries  map[EntryID]Versioned[Entry] // registrations under a lease
}

// NewState returns an empty snapshot.
func NewState() *State {
	return &State{
		Config:  Versioned[Config]{Value: &Config{}},
		Pools:   map[PoolName]Versioned[Pool]{},
		Shards:  map[int]Versioned[MemberShard]{},
		Waves:   map[WaveName]Versioned[Wave]{},
		Jobs:    map[PoolName]Versioned[JobSet]{},
		View:    Versioned[View]{Value: &View{}},
		Entries: map[EntryID]Versioned[Entry]{},
	}
}

// Clone returns a copy with its own maps; the records are shared.
func (s *State) Clone() *State {
	c := *s
	c.Pools = maps.Clone(s.Pools)
	c.Shards = maps.Clone(s.Shards)
	c.Waves = maps.Clone(s.Waves)
	c.Jobs = maps.Clone(s.Jobs)
	c.Entries = maps.Clone(s.Entries)
	return &c
}

// Membership returns the record of instance id, or nil.
func (s *State) Membership(id InstanceID) *Membership {
	shard, ok := s.Shards[ShardOf(id)]
	if !ok {
		return nil
	}
	return shard.Value.Find(id)
}

// MembersOf lists the memberships of pool p, sorted by instance.
func (s *State) MembersOf(p PoolName) []Membership {
	var out []Membership
	for _, shard := range s.Shards {
		for _, m := range shard.Value.Members {
			if m.Pool == p {
				out = append(out, m)
			}
		}
	}
	slices.SortFunc(out, func(a, b Membership) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return out
}

// MembersByPool groups every membership by pool in one pass. Within a pool they are
// in the order of the shards, not sorted by instance.
func (s *State) MembersByPool() map[PoolName][]Membership {
	out := make(map[PoolName][]Membership, len(s.Pools))
	for _, i := range slices.Sorted(maps.Keys(s.Shards)) {
		for _, m := range s.Shards[i].Value.Members {
			out[m.Pool] = append(out[m.Pool], m)
		}
	}
	return out
}

// PoolsOf lists the pools of service name, sorted.
func (s *State) PoolsOf(name ServiceName) []PoolName {
	var out []PoolName
	for n, p := range s.Pools {
		if p.Value.Service == name {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// SortedPools lists the pool names in order.
func (s *State) SortedPools() []PoolName { return slices.Sorted(maps.Keys(s.Pools)) }

// SortedWaves lists the wave names in order.
func (s *State) SortedWaves() []WaveName { return slices.Sorted(maps.Keys(s.Waves)) }

// MemberShardCount is the number of shard records. At 13,000 instances a shard
// holds about 200 memberships, roughly 10 KB.
const MemberShardCount = 64

// ShardOf returns the number of the shard that holds the membership of id: its
// FNV-1a hash modulo MemberShardCount.
func ShardOf(id InstanceID) int {
	const (
		offset = 2166136261
		prime  = 16777619
	)
	h := uint32(offset)
	for i := 0; i < len(id); i++ {
		h ^= uint32(id[i])
		h *= prime
	}
	return int(h % MemberShardCount)
}
