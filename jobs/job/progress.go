package job

import (
	"math/bits"
	"slices"
	"time"
	"unicode/utf8"
)

// Progress is the stored state of a job apart from its submission. Only the owner writes it.
type Progress struct {
	State State
	// DoneOccurrences are occurrences of which all tasks are done.
	DoneOccurrences Ranges `json:",omitempty"`
	// Steps are those of other occurrences, sorted by occurrence, then step. A missing entry means that none
	// of the step's tasks has ended. Records written by earlier versions contain done occurrences as well.
	Steps []StepProgress `json:",omitempty"`
	// OtherServices are the services, besides that of the job's acceptance, on whose workers its tasks may
	// run, as operators moved its queue there. A service is stored before the first start on its workers.
	OtherServices []string `json:",omitempty"`
	// EndedAt is when the state became final; the record is removed some time later.
	EndedAt time.Time `json:",omitzero"`
	// Cause is why a job failed, in at most maxCauseBytes. Records written by earlier versions have
	// none.
	Cause string `json:",omitempty"`
}

// rangesMarker is the occurrence of an entry in Steps that versions without DoneOccurrences take for invalid. They
// would run done occurrences again; instead they withhold the job.
const rangesMarker = -1

// SetDoneOccurrences sets DoneOccurrences. It is called before Steps are added.
func (p *Progress) SetDoneOccurrences(done Ranges) {
	if len(done) > 0 {
		p.DoneOccurrences = slices.Clone(done)
		p.Steps = []StepProgress{{Occurrence: rangesMarker}}
	}
}

// OpenSteps returns Steps without the marker for earlier versions.
func (p *Progress) OpenSteps() []StepProgress {
	if len(p.DoneOccurrences) > 0 && len(p.Steps) > 0 && p.Steps[0].Occurrence == rangesMarker {
		return p.Steps[1:]
	}
	return p.Steps
}

// HasCheckpoints reports whether a step has a checkpoint.
func (p *Progress) HasCheckpoints() bool {
	return slices.ContainsFunc(p.Steps, func(s StepProgress) bool { return len(s.Checkpoint) > 0 })
}

// maxCauseBytes bounds the stored cause of a failure. Each new owner reads the records of all jobs.
const maxCauseBytes = 512

// BoundCause returns the cause, cut at the end of a character if it is too long to be stored.
func BoundCause(cause string) string {
	const ellipsis = "..."
	if len(cause) <= maxCauseBytes {
		return cause
	}
	end := maxCauseBytes - len(ellipsis)
	for end > 0 && !utf8.RuneStart(cause[end]) {
		end--
	}
	return cause[:end] + ellipsis
}

// StepProgress records how the tasks of a step in one occurrence ended.
type StepProgress struct {
	Occurrence int              `json:"O,omitempty"`
	Step       int              `json:"S,omitempty"`
	Done       Bitset           `json:"D,omitempty"`
	Failed     map[int]Failures `json:"F,omitempty"` // by task index
	Checkpoint map[int]string   `json:"C,omitempty"` // latest one, by task index
	Crashed    map[int]Crashes  `json:"K,omitempty"` // by task index
	// Accepted are starts that workers have accepted, by task index. No crash of these workers is known.
	Accepted map[int]Crashes `json:"A,omitempty"`
}

// LastTask returns the highest index of a task with an entry, -1 if there is none.
func (s *StepProgress) LastTask() int {
	last := s.Done.last()
	for i := range s.Failed {
		last = max(last, i)
	}
	for i := range s.Checkpoint {
		last = max(last, i)
	}
	for i := range s.Crashed {
		last = max(last, i)
	}
	for i := range s.Accepted {
		last = max(last, i)
	}
	return last
}

// Failures lists the failed runs of a task. The runs are listed and not just counted because
// workers may report a failure again to the next owner, and reports of several workers arrive in
// any order. The list stays short, since a queue allows few attempts.
type Failures []uint64

// With returns the failures with run added, if it isn't among them. It may change f.
func (f Failures) With(run uint64) Failures {
	if slices.Contains(f, run) {
		return f
	}
	return append(f, run)
}

// Bitset is a set of small non-negative integers.
type Bitset []byte

// Has reports whether i is in the set.
func (b Bitset) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// last returns the highest integer in the set, -1 if it is empty.
func (b Bitset) last() int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return 8*i + bits.Len8(b[i]) - 1
		}
	}
	return -1
}

// With returns the set with i added. It may change b.
func (b Bitset) With(i int) Bitset {
	for len(b) <= i/8 {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	return b
}
