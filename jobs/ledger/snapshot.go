package ledger

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// RefusedEntry is an item of the store that is not used because it is invalid.
type RefusedEntry struct {
	Key      string
	Revision int64
	Err      error
}

// Snapshot is the state that a new owner reads from the store.
type Snapshot struct {
	Refused  []RefusedEntry
	Jobs     []owner.StoredJob
	Withheld []job.ID // jobs that are not loaded although some of their tasks may be done
	Waves    map[int]WaveProgress
	Settled  map[owner.WorkerID]int64 // start times of settled incarnations by worker
	Revision int64                    // a watch of PrefixJobs from there misses no change
}

// loadTimeout bounds the reading of a snapshot, which has several pages of 1 MB.
const loadTimeout = 10 * time.Second

// Load reads all jobs, waves and settled incarnations. Reading them concurrently is consistent: only the
// owner writes progress, waves and settled incarnations, and a watch from Revision reports later submissions.
func Load(ctx context.Context, s Store) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	snap := Snapshot{Waves: map[int]WaveProgress{}}
	var items, progress, waves, settled []Item
	err := runConcurrently(
		func() (err error) { items, snap.Revision, err = RangeAll(ctx, s, PrefixJobs, false); return err },
		func() (err error) { progress, _, err = RangeAll(ctx, s, prefixProgress, false); return err },
		func() (err error) { waves, _, err = RangeAll(ctx, s, prefixWaves, false); return err },
		func() (err error) { settled, _, err = RangeAll(ctx, s, prefixSettled, false); return err },
	)
	if err != nil {
		return snap, err
	}
	snap.assemble(items, progress)
	snap.addSettled(settled)
	for _, i := range waves {
		n, err := strconv.Atoi(i.Key[len(prefixWaves):])
		if err != nil {
			snap.addRefused(i, fmt.Errorf("key %s: %w", i.Key, err))
			continue
		}
		p, err := decode[WaveProgress](i)
		if err != nil {
			snap.addRefused(i, err)
			continue
		}
		snap.Waves[n] = p
	}
	return snap, nil
}

func (s *Snapshot) addRefused(i Item, err error) {
	s.Refused = append(s.Refused, RefusedEntry{i.Key, i.Revision, err})
}

// runConcurrently runs the calls concurrently and returns their joined errors.
func runConcurrently(calls ...func() error) error {
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		wg.Go(func() { errs[i] = call() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// assemble combines submissions, progress and cancellations. A job with an invalid submission or
// progress is not loaded: it is not known which of its tasks are done, and no task may run twice.
func (s *Snapshot) assemble(items, progress []Item) {
	progressByJob := map[job.ID]Item{}
	for _, i := range progress {
		progressByJob[idOf(i.Key, prefixProgress)] = i
	}
	cancelled := map[job.ID]bool{}
	for _, i := range items {
		ch, ok, err := DecodeChange(i)
		switch {
		case err != nil:
			s.addRefused(i, err)
			if id := idOf(i.Key, prefixSubmitted); progressByJob[id].Revision != 0 {
				s.Withheld = append(s.Withheld, id)
			}
		case !ok:
		case ch.Submitted == nil:
			cancelled[ch.Cancelled] = true
		default:
			s.addJob(&ch, progressByJob)
		}
	}
	for n := range s.Jobs {
		s.Jobs[n].Cancelled = cancelled[s.Jobs[n].Job.ID]
	}
}

func (s *Snapshot) addJob(ch *Change, progressByJob map[job.ID]Item) {
	stored := owner.StoredJob{Job: ch.Submitted}
	if ch.Ended != nil {
		stored.Progress = &job.Progress{State: ch.Ended.State, EndedAt: ch.Ended.At, Cause: ch.Ended.Cause}
	} else if i, found := progressByJob[ch.Submitted.ID]; found {
		p, err := decode[job.Progress](i)
		if err == nil {
			err = p.Validate(ch.Submitted)
		}
		if err != nil {
			s.addRefused(i, err)
			s.Withheld = append(s.Withheld, ch.Submitted.ID)
			return
		}
		stored.Progress = &p
	}
	s.Jobs = append(s.Jobs, stored)
}
