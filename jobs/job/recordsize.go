package job

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// A record of a job's progress may be larger than the largest value of the store. What the job needs to be judged by its
// own ends takes little: which tasks are done, and which runs have failed. The rest can be left out: a later owner resumes
// tasks without a checkpoint from their beginning, and does not suspect those without evidence of a crash.

// maxEntryBytes bounds the encoding of a crash, a checkpoint or a failed run without its strings.
const maxEntryBytes = 256

// optionalPart is a part of a record that can be left out.
type optionalPart int

// The optional parts, in the order in which they are left out.
const (
	partWeakEvidence optionalPart = iota // crashes that are not confirmed and for which other tasks are suspected as well
	partCheckpoints
	partStrongEvidence // the other crashes
	optionalParts
)

// LeftOut counts what is left out of a record.
type LeftOut struct {
	Crashes     int // accepted starts included
	Checkpoints int
}

// Fit leaves parts of the record out until its encoding has at most limit bytes, or no such part is left.
func (p *Progress) Fit(limit int) (out LeftOut) {
	if p.sizeBound() <= limit {
		return out
	}
	excess := p.Size() - limit
	for part := range optionalParts {
		for n := len(p.Steps) - 1; n >= 0 && excess > 0; n-- {
			bytes, removed := p.Steps[n].leaveOut(part, excess)
			excess -= bytes
			if part == partCheckpoints {
				out.Checkpoints += removed
			} else {
				out.Crashes += removed
			}
		}
	}
	return out
}

// Size returns the size of the record's encoding in bytes.
func (p *Progress) Size() int { return encodedSize(p) }

// HasOptionalParts reports whether the record has a part that Fit can leave out.
func (p *Progress) HasOptionalParts() bool {
	return p.HasCheckpoints() || slices.ContainsFunc(p.Steps, func(s StepProgress) bool { return len(s.Crashed)+len(s.Accepted) > 0 })
}

// sizeBound returns an upper bound of Size that takes little time to compute.
func (p *Progress) sizeBound() int {
	const maxEscaped = 6 // bytes of a byte of a string
	size := maxEntryBytes + maxEscaped*len(p.Cause) + maxEntryBytes*len(p.DoneOccurrences)
	for _, s := range p.OtherServices {
		size += maxEntryBytes + maxEscaped*len(s)
	}
	for n := range p.Steps {
		s := &p.Steps[n]
		size += maxEntryBytes + 2*len(s.Done)
		for _, f := range s.Failed {
			size += maxEntryBytes + maxEntryBytes*len(f)
		}
		for _, c := range s.Checkpoint {
			size += maxEntryBytes + maxEscaped*len(c)
		}
		for _, m := range []map[int]Crashes{s.Crashed, s.Accepted} {
			for _, crashes := range m {
				for i := range crashes {
					size += maxEntryBytes + maxEscaped*(len(crashes[i].Worker)+len(crashes[i].Instance)+len(crashes[i].Rack))
				}
			}
		}
	}
	return size
}

// leaveOut removes entries of the part, those of the last tasks first, until they have taken excess bytes. It returns how many
// bytes the encoding is shorter, and how many entries were removed.
func (s *StepProgress) leaveOut(part optionalPart, excess int) (bytes, removed int) {
	if part == partCheckpoints {
		for _, i := range descendingKeys(s.Checkpoint) {
			if bytes >= excess {
				break
			}
			bytes += removeEntry(s, s.Checkpoint, i)
			removed++
		}
		return bytes, removed
	}
	for _, m := range []map[int]Crashes{s.Accepted, s.Crashed} {
		for _, i := range descendingKeys(m) {
			if bytes >= excess {
				break
			}
			shorter, n := leaveOutCrashes(s, m, i, part)
			bytes += shorter
			removed += n
		}
	}
	return bytes, removed
}

// leaveOutCrashes removes the crashes of task i that belong to the part or an earlier one.
func leaveOutCrashes(s *StepProgress, m map[int]Crashes, i int, part optionalPart) (bytes, removed int) {
	belongs := func(k Crash) bool { return k.recordPart() <= part }
	all := m[i]
	switch n := all.count(belongs); n {
	case 0:
		return 0, 0
	case len(all):
		return removeEntry(s, m, i), n
	}
	m[i] = slices.Clone(all).Without(belongs)
	return encodedSize(all) - encodedSize(m[i]), len(all) - len(m[i])
}

// removeEntry removes an entry of one of the step's maps and returns how many bytes the encoding is shorter, in which an
// empty map is missing.
func removeEntry[V any](s *StepProgress, m map[int]V, key int) (bytes int) {
	const comma = len(",")
	bytes = len(strconv.Itoa(key)) + len(`"":`) + encodedSize(m[key])
	delete(m, key)
	if len(m) > 0 {
		return bytes + comma
	}
	bytes += len(`"K":{}`)
	if !s.isEmpty() {
		bytes += comma
	}
	return bytes
}

// isEmpty reports whether the encoding of the step has no field.
func (s *StepProgress) isEmpty() bool {
	return s.Occurrence == 0 && s.Step == 0 && len(s.Done)+len(s.Failed)+len(s.Checkpoint)+len(s.Crashed)+len(s.Accepted) == 0
}

// recordPart returns the part of a record that the crash belongs to.
func (c *Crash) recordPart() optionalPart {
	if c.Unconfirmed() && !c.SoleSuspect {
		return partWeakEvidence
	}
	return partStrongEvidence
}

// descendingKeys returns the keys in descending order.
func descendingKeys[V any](m map[int]V) []int {
	keys := slices.Sorted(maps.Keys(m))
	slices.Reverse(keys)
	return keys
}

func encodedSize(value any) int {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err) // records contain nothing that cannot be encoded
	}
	return len(out)
}
