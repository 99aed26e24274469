package capacity

import "iter"

// spreadOrder says which availability zone comes first when instances of a pool are chosen.
type spreadOrder int

const (
	toFewest spreadOrder = iota // of the zone with the fewest instances of the pool: to add one
	fromMost                    // of the zone with the most instances of the pool: to remove one
)

// spread yields the candidates one by one. If byZone is set, each one is of the zone that comes first
// in the given order at that moment, as the caller updates byZone with each instance it takes; the
// first of several in the list's order. Without byZone the list's order is kept.
func spread(list []Instance, byZone map[string]int, order spreadOrder) iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		if byZone == nil {
			for _, i := range list {
				if !yield(i) {
					return
				}
			}
			return
		}
		queues := queuesByZone(list)
		for len(queues) > 0 {
			first := 0
			for q := range queues {
				if order.precedes(byZone[queues[q][0].Zone], byZone[queues[first][0].Zone]) {
					first = q
				}
			}
			if !yield(queues[first][0]) {
				return
			}
			if queues[first] = queues[first][1:]; len(queues[first]) == 0 {
				queues = append(queues[:first], queues[first+1:]...)
			}
		}
	}
}

// precedes reports whether a zone with a instances of the pool comes before one with b.
func (o spreadOrder) precedes(a, b int) bool {
	if o == toFewest {
		return a < b
	}
	return a > b
}

// queuesByZone divides the list by zone. The zones are in the order of their first instances.
func queuesByZone(list []Instance) [][]Instance {
	var out [][]Instance
	index := map[string]int{}
	for _, i := range list {
		q, known := index[i.Zone]
		if !known {
			q = len(out)
			index[i.Zone] = q
			out = append(out, nil)
		}
		out[q] = append(out[q], i)
	}
	return out
}

// addToZone adds n to the number of the pool's instances in a zone, if these are counted.
func (p *Pool) addToZone(zone string, n int) {
	if p.ByZone != nil {
		p.ByZone[zone] += n
	}
}

// LargestZoneShare returns the largest share of the pool's instances that are in one zone, from 0
// to 1: what the loss of that zone would take. It is 0 if instances are not counted by zone.
func (p *Pool) LargestZoneShare() float64 {
	largest, total := 0, 0
	for _, n := range p.ByZone {
		largest = max(largest, n)
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(largest) / float64(total)
}
