// Package rendezvous implements rendezvous hashing (highest random weight): when a
// member is added or removed, only the keys that it owns change their owner.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight returns the weight of a member for a key. The zero byte separates the two
// strings in the hash.
func weight(member, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member with the highest weight for key, or the zero value
// when there are no members.
func Owner[M ~string](members []M, key string) M {
	var best M
	var bestWeight uint64
	for _, m := range members {
		w := weight(string(m), key)
		if best == "" || w > bestWeight || (w == bestWeight && m < best) {
			best, bestWeight = m, w
		}
	}
	return best
}

// Rank returns the number of members ranked above member for key, 0 for the owner.
func Rank[M ~string](members []M, member M, key string) int {
	own := weight(string(member), key)
	rank := 0
	for _, m := range members {
		w := weight(string(m), key)
		if w > own || (w == own && m < member) {
			rank++
		}
	}
	return rank
}

// Hash returns the 64-bit hash of s (xxHash), which is the same in every process.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Sorted returns the members ordered by weight for key, the owner first.
func Sorted[M ~string](members []M, key string) []M {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b M) int { return Rank(members, a, key) - Rank(members, b, key) })
	return out
}
