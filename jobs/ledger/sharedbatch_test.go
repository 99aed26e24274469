package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// TestTenantsWithTheSameJobID guards against a job that is accepted and never run: two tenants submit
// jobs with the same ID at the same time, and only one of them is stored.
func TestTenantsWithTheSameJobID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &resettingStore{}
		a := NewAcceptor(NewFailover(s, s, time.Now, func(error) {}), 0)
		outcomes := make(chan error, 3)
		for _, tenant := range []string{"one", "two", "one"} {
			go func() { outcomes <- a.Accept(ctx, &job.Job{ID: "00000000000000aa", Tenant: tenant}) }()
			synctest.Wait() // it is in the queue
		}
		a.Run(ctx)
		accepted, refused := 0, 0
		for range 3 {
			switch err := <-outcomes; {
			case err == nil:
				accepted++
			case verdict.CodeOf(err) == CodeOtherTenant:
				refused++
			}
		}
		assert.Equal(t, 2, accepted, "the first and its repetition")
		assert.Equal(t, 1, refused, "the other tenant's job is not stored")
	})
}
