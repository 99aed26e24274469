package job

import (
	"cmp"
	"fmt"
	"slices"
)

// Range is a range of non-negative integers: the first and the last one.
type Range [2]int

// Ranges is a set of non-negative integers as sorted ranges between which others are missing. Its size depends on the
// number of gaps, not on that of its members.
type Ranges []Range

// find returns the index of the first range that ends at n or later.
func (r Ranges) find(n int) int {
	i, _ := slices.BinarySearchFunc(r, n, func(e Range, n int) int { return cmp.Compare(e[1], n) })
	return i
}

// Has reports whether n is in the set.
func (r Ranges) Has(n int) bool {
	i := r.find(n)
	return i < len(r) && r[i][0] <= n
}

// With returns the set with n added. It may change r.
func (r Ranges) With(n int) Ranges {
	if r.Has(n) {
		return r
	}
	i := r.find(n)
	endsBefore := i > 0 && r[i-1][1] == n-1
	beginsAfter := i < len(r) && r[i][0] == n+1
	switch {
	case endsBefore && beginsAfter:
		r[i-1][1] = r[i][1]
		return slices.Delete(r, i, i+1)
	case endsBefore:
		r[i-1][1] = n
	case beginsAfter:
		r[i][0] = n
	default:
		return slices.Insert(r, i, Range{n, n})
	}
	return r
}

// NextMissing returns the first integer from n on that is not in the set.
func (r Ranges) NextMissing(n int) int {
	if i := r.find(n); i < len(r) && r[i][0] <= n {
		return r[i][1] + 1
	}
	return n
}

// validate returns an error unless the ranges are sorted, have gaps between them, and lie below limit.
func (r Ranges) validate(limit int) error {
	next := 0
	for _, e := range r {
		if e[0] < next || e[1] < e[0] || e[1] >= limit {
			return fmt.Errorf("range %d to %d is out of order or not below %d", e[0], e[1], limit)
		}
		next = e[1] + 2
	}
	return nil
}
