package bytebudget

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/internal/sleep"
)

const (
	testBudget = 1 << 20
	minIdle    = 500 * time.Millisecond
)

// fill opens shares of n bytes until no more fit at once, each of which is closed as soon as it is evicted.
func fill(b *Budget, n int64) []*Share {
	var out []*Share
	for {
		var s *Share
		s = b.Open(func() { s.Close() })
		if !s.TryGrow(n) {
			s.Close()
			return out
		}
		out = append(out, s)
	}
}

// TestStalledSharesGiveWay guards against a crowd that takes the whole budget and sends nothing: nobody else would
// ever be served.
func TestStalledSharesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testBudget, minIdle)
		crowd := fill(b, 100<<10)
		for _, n := range []int{0, 2, 3, 4, 5, 6, 1} {
			time.Sleep(time.Minute)
			crowd[n].Progress(progressBytes)
		}
		time.Sleep(time.Minute)
		own := b.Open(func() { assert.Fail(t, "the share that grows was evicted") })
		require.NoError(t, own.Grow(t.Context(), 250<<10)) // the memory of two of them
		assert.True(t, crowd[0].Evicted())
		assert.True(t, crowd[2].Evicted())
		for _, n := range []int{1, 3, 4, 5, 6} {
			assert.False(t, crowd[n].Evicted(), "share %d progressed later", n)
		}
		require.ErrorIs(t, crowd[0].Complete(), ErrEvicted)
	})
}

// TestSingleBytesAreNoProgress: a body that arrives byte by byte keeps no memory that others need.
func TestSingleBytesAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testBudget, minIdle)
		crowd := fill(b, 100<<10)
		for range 10 {
			time.Sleep(minIdle / 5)
			for _, s := range crowd {
				s.Progress(1)
			}
		}
		require.NoError(t, b.Open(nil).Grow(t.Context(), 100<<10))
	})
}

// TestProgressingSharesAreKept: shares that progress are not evicted, and further ones wait for memory and are refused
// if none becomes free.
func TestProgressingSharesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testBudget, minIdle)
		crowd := fill(b, 100<<10)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for sleep.For(ctx, minIdle/2) {
				for _, s := range crowd {
					s.Progress(progressBytes)
				}
			}
		}()
		late := b.Open(nil)
		require.ErrorIs(t, late.Grow(t.Context(), 100<<10), ErrExhausted)
		time.AfterFunc(time.Second, crowd[0].Close)
		require.NoError(t, late.Grow(t.Context(), 100<<10))
		cancel()
		for _, s := range crowd {
			assert.False(t, s.Evicted())
		}
	})
}

// TestSmallRequestsHaveAReserve: requests that fill the budget leave memory for small ones.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	b := New(testBudget, minIdle)
	fill(b, smallBytes+1)
	assert.True(t, b.Open(nil).TryGrow(smallBytes))
	assert.False(t, b.Open(nil).TryGrow(smallBytes+1))
	large := b.Open(nil)
	large.SetLarge()
	assert.False(t, large.TryGrow(1), "it is known to become large")
}

// TestSmallRequestsDoNotWaitForLargeOnes guards against large requests that hold all memory while each waits for more:
// small ones waited behind them until they were refused as well.
func TestSmallRequestsDoNotWaitForLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testBudget, minIdle)
		crowd := fill(b, smallBytes)
		for _, s := range crowd {
			go func() {
				_ = s.Grow(t.Context(), smallBytes) // ErrEvicted or ErrExhausted
				s.Close()
			}()
		}
		synctest.Wait()
		own := b.Open(nil)
		require.NoError(t, own.Grow(t.Context(), smallBytes))
		require.NoError(t, own.Complete())
		assert.Less(t, time.Since(own.progressed), time.Second)
		time.Sleep(maxWait)
	})
}

// TestCompleteSharesAreKept: a request that has arrived is not evicted while it is handled.
func TestCompleteSharesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testBudget, minIdle)
		for _, s := range fill(b, 100<<10) {
			require.NoError(t, s.Complete())
		}
		time.Sleep(time.Minute)
		require.ErrorIs(t, b.Open(nil).Grow(t.Context(), 100<<10), ErrExhausted)
	})
}

// TestClosedSharesFreeAll: nothing of the budget is lost.
func TestClosedSharesFreeAll(t *testing.T) {
	b := New(testBudget, minIdle)
	for _, s := range fill(b, 100<<10) {
		s.Shrink()
		require.True(t, s.TryGrow(1000))
		s.Close()
		s.Close()
	}
	assert.Zero(t, b.used)
	assert.Empty(t, b.shares)
}

// TestABurstIsServedInOrder guards against requests that all hold memory while each waits for more: nearly all of a
// burst were refused together after maxWait.
func TestABurstIsServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, bodyBytes = 300, 256 << 10
		b := New(35<<20, minIdle)
		served := make([]bool, requests)
		var wg sync.WaitGroup
		for i := range requests {
			s := b.Open(func() {})
			wg.Go(func() {
				defer s.Close()
				for held := int64(0); held < bodyBytes; held = max(4<<10, 2*held) {
					if s.Grow(t.Context(), max(4<<10, held)) != nil {
						return
					}
					time.Sleep(time.Millisecond) // receive
				}
				if s.Complete() != nil {
					return
				}
				time.Sleep(10 * time.Millisecond) // handle
				served[i] = true
			})
			synctest.Wait()
		}
		began := time.Now()
		wg.Wait()
		count := 0
		for _, ok := range served {
			if ok {
				count++
			}
		}
		t.Logf("served %d of %d in %s", count, requests, time.Since(began))
		assert.GreaterOrEqual(t, count, requests*9/10)
		assert.Less(t, time.Since(began), 2*time.Second)
		for i := range requests / 2 {
			assert.True(t, served[i], "request %d is among the oldest", i)
		}
	})
}

// BenchmarkSmallRequest measures the CPU time of the process for each small request, one every 20 ms, while large ones
// wait for memory.
func BenchmarkSmallRequest(b *testing.B) {
	for _, waiters := range []int{0, 1000} {
		b.Run(fmt.Sprintf("waiters=%d", waiters), func(b *testing.B) {
			budget := New(35<<20, time.Hour)
			holder := budget.Open(func() {})
			if err := holder.Grow(b.Context(), 35<<20); err != nil {
				b.Fatal(err)
			}
			_ = holder.Complete() // cannot be evicted
			var wg sync.WaitGroup
			for range waiters {
				s := budget.Open(func() {})
				s.SetLarge()
				wg.Go(func() {
					for s.Grow(b.Context(), 64<<10) != nil && b.Context().Err() == nil {
					}
					s.Close()
				})
			}
			time.Sleep(100 * time.Millisecond)
			before := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				s := budget.Open(func() {})
				if err := s.Grow(b.Context(), 4<<10); err != nil {
					b.Fatal(err)
				}
				s.Close()
				time.Sleep(20 * time.Millisecond) // the waiting ones react
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			holder.Close()
			wg.Wait()
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
