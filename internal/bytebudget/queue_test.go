package bytebudget

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestQueueServesInOrder guards against a large request that small ones overtake for ever, and against memory that
// nobody holds any more.
func TestQueueServesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(100)
		release, err := q.Acquire(t.Context(), 60)
		require.NoError(t, err)
		var mu sync.Mutex
		var order []int64
		served := func() []int64 {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(order)
		}
		for _, n := range []int64{1000, 10, 20} {
			go func() {
				release, err := q.Acquire(t.Context(), n)
				if assert.NoError(t, err) {
					mu.Lock()
					order = append(order, n)
					mu.Unlock()
					time.Sleep(time.Millisecond)
					release()
				}
			}()
			synctest.Wait()
		}
		assert.Empty(t, served())
		release()
		release()
		assert.Equal(t, []int64{1000}, served())
		time.Sleep(time.Second)
		assert.ElementsMatch(t, []int64{1000, 10, 20}, served())
		assert.Zero(t, q.used)
		_, err = q.Acquire(t.Context(), 100)
		require.NoError(t, err)
		_, err = q.Acquire(t.Context(), 1)
		require.ErrorIs(t, err, ErrExhausted)
		assert.Empty(t, q.waiting)
	})
}
