package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// largestCrash is a crash with the longest names that the platform's pages show.
func largestCrash(run uint64, soleSuspect bool) Crash {
	return Crash{Run: run, Worker: "i-7f3a9102aa@1765123456789", Instance: "m-d0a00", AtStart: true, SoleSuspect: soleSuspect, Correlated: true, Exposure: 2_041_234_567, Coincidence: 0.0123456789012345}
}

// largestProgress is the progress of one step with as many tasks as a job may have, each with every part of a record.
func largestProgress(failures int) Progress {
	s := StepProgress{Failed: map[int]Failures{}, Checkpoint: map[int]string{}, Crashed: map[int]Crashes{}, Accepted: map[int]Crashes{}}
	for i := range MaxTasks {
		run := uint64(123_000_000 + i)
		if i%2 == 0 {
			s.Done = s.Done.With(i)
		}
		for n := range failures {
			s.Failed[i] = s.Failed[i].With(run + uint64(n*MaxTasks))
		}
		s.Checkpoint[i] = "00000bb87a21d94b"
		s.Crashed[i] = Crashes{largestCrash(run, i%4 == 0)}
		s.Accepted[i] = Crashes{{Run: run + 7, Worker: "i-7f3a9102aa@1765123456789", Instance: "m-d0a00", Rack: "r1-0", AcceptedAt: time.Date(2026, 12, 7, 16, 25, 0, 123456789, time.UTC)}}
	}
	return Progress{State: Running, OtherServices: []string{"giving"}, Steps: []StepProgress{s}}
}

// TestLargestRecordFits guards against a job that fails because its record outgrows the store, although none of its tasks
// did: what cannot be left out has room for as many tasks as a job may have.
func TestLargestRecordFits(t *testing.T) {
	const valueBytes, failures = 1 << 20, 7
	p := largestProgress(failures)
	t.Logf("%d bytes with all parts", p.Size())
	out := p.Fit(valueBytes)
	assert.LessOrEqual(t, p.Size(), valueBytes)
	assert.Positive(t, out.Crashes)
	assert.Positive(t, out.Checkpoints)
	want := largestProgress(failures)
	assert.Equal(t, want.Steps[0].Done, p.Steps[0].Done)
	assert.Equal(t, want.Steps[0].Failed, p.Steps[0].Failed)
	assert.Equal(t, want.OtherServices, p.OtherServices)
	for name, only := range map[string]func(s *StepProgress){
		"done":            func(s *StepProgress) { s.Failed, s.Checkpoint, s.Crashed, s.Accepted = nil, nil, nil, nil },
		"failed runs":     func(s *StepProgress) { s.Done, s.Checkpoint, s.Crashed, s.Accepted = nil, nil, nil, nil },
		"checkpoints":     func(s *StepProgress) { s.Done, s.Failed, s.Crashed, s.Accepted = nil, nil, nil, nil },
		"crashes":         func(s *StepProgress) { s.Done, s.Failed, s.Checkpoint, s.Accepted = nil, nil, nil, nil },
		"accepted starts": func(s *StepProgress) { s.Done, s.Failed, s.Checkpoint, s.Crashed = nil, nil, nil, nil },
	} {
		p := largestProgress(failures)
		only(&p.Steps[0])
		t.Logf("%s: %d bytes", name, p.Size())
	}
}

// TestRecordThatFitsIsComplete guards against evidence and checkpoints that are left out of a record that has room for
// them.
func TestRecordThatFitsIsComplete(t *testing.T) {
	p, want := largestProgress(2), largestProgress(2)
	assert.Zero(t, p.Fit(p.Size()))
	assert.Equal(t, want, p)
}

// TestPartsAreLeftOutInOrder guards against a record that loses the evidence against a task that crashes its workers, while
// it has checkpoints or evidence that proves little.
func TestPartsAreLeftOutInOrder(t *testing.T) {
	full := func() Progress {
		return Progress{State: Running, Steps: []StepProgress{{
			Failed:     map[int]Failures{0: {1000001}},
			Checkpoint: map[int]string{1: "00000bb87a21d94b", 2: "00000bb87a21d94c"},
			Crashed:    map[int]Crashes{3: {largestCrash(1000002, true), largestCrash(1000003, false)}, 4: {largestCrash(1000004, false)}},
		}}}
	}
	weak := largestCrash(1000003, false)
	withoutWeak := full()
	delete(withoutWeak.Steps[0].Crashed, 4)
	withoutWeak.Steps[0].Crashed[3] = Crashes{largestCrash(1000002, true)}
	withoutCheckpoints := full()
	withoutCheckpoints.Steps[0].Crashed = withoutWeak.Steps[0].Crashed
	withoutCheckpoints.Steps[0].Checkpoint = map[int]string{}
	p := full()
	require.True(t, weak.Unconfirmed())
	p.Fit(withoutWeak.Size())
	assert.Equal(t, withoutWeak, p)
	p.Fit(withoutCheckpoints.Size())
	assert.Equal(t, withoutCheckpoints, p)
	p.Fit(1)
	assert.False(t, p.HasOptionalParts())
	assert.Equal(t, map[int]Failures{0: {1000001}}, p.Steps[0].Failed)
}

// TestFitAtRandom checks that a record is within the limit afterwards or has no optional part, and keeps all that is not
// optional.
func TestFitAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 20, 40)
		crash := rapid.Custom(func(t *rapid.T) Crash {
			return Crash{
				Run: rapid.Uint64().Draw(t, "run"), Worker: text.Draw(t, "worker"), Instance: text.Draw(t, "instance"), Rack: text.Draw(t, "rack"),
				AtStart: rapid.Bool().Draw(t, "at start"), SoleSuspect: rapid.Bool().Draw(t, "alone"), Eliminated: rapid.Bool().Draw(t, "eliminated"), Correlated: rapid.Bool().Draw(t, "correlated"),
				Exposure: time.Duration(rapid.Int64().Draw(t, "exposure")), Coincidence: rapid.Float64Range(0, 1).Draw(t, "coincidence"),
			}
		})
		index := rapid.IntRange(0, MaxTasks-1)
		crashes := rapid.MapOfN(index, rapid.Map(rapid.SliceOfN(crash, 1, 3), func(s []Crash) Crashes { return s }), 0, 6)
		failures := rapid.MapOfN(index, rapid.Map(rapid.SliceOfN(rapid.Uint64(), 1, 3), func(s []uint64) Failures { return s }), 0, 3)
		p := Progress{State: Running}
		for n := range rapid.IntRange(0, 3).Draw(t, "steps") {
			p.Steps = append(p.Steps, StepProgress{Step: n, Failed: failures.Draw(t, "failed"), Checkpoint: rapid.MapOfN(index, text, 0, 6).Draw(t, "checkpoints"), Crashed: crashes.Draw(t, "crashed"), Accepted: crashes.Draw(t, "accepted")})
		}
		if p.Size() > p.sizeBound() {
			t.Fatalf("size %d, bound %d", p.Size(), p.sizeBound())
		}
		limit := rapid.IntRange(1, p.Size()+10).Draw(t, "limit")
		failed := fmt.Sprint(p.Steps)
		kept := make([]map[int]Failures, len(p.Steps))
		for n := range p.Steps {
			kept[n] = p.Steps[n].Failed
		}
		before := p.Size()
		p.Fit(limit)
		if before <= limit && fmt.Sprint(p.Steps) != failed {
			t.Fatal("a record that fits was changed")
		}
		if p.Size() > limit && p.HasOptionalParts() {
			t.Fatalf("%d bytes, want at most %d", p.Size(), limit)
		}
		for n := range p.Steps {
			if fmt.Sprint(p.Steps[n].Failed) != fmt.Sprint(kept[n]) {
				t.Fatal("failed runs were left out")
			}
		}
	})
}

// BenchmarkFit measures what leaving parts out adds to the encoding of a record of 10,000 tasks that are all lost with their
// workers, by whether the crashes fit.
func BenchmarkFit(b *testing.B) {
	for name, tasks := range map[string]int{"fits": 2000, "bound exceeded": 7000, "too large": MaxTasks} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				crashed := map[int]Crashes{}
				for i := range tasks {
					crashed[i] = Crashes{largestCrash(uint64(1_000_000+i), true)}
				}
				p := Progress{State: Running, Steps: []StepProgress{{Crashed: crashed}}}
				b.StartTimer()
				p.Fit(1 << 20)
			}
		})
	}
	b.Run("encoding alone", func(b *testing.B) {
		p := largestProgress(0)
		p.Steps[0].Accepted, p.Steps[0].Checkpoint = nil, nil
		for b.Loop() {
			p.Size()
		}
	})
}
