package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
)

// TestPutsBeyondOneTransactionAreWrittenLater guards against the status of a wave that is never written: more puts were
// pending than fit into one transaction, and all of them counted as written.
func TestPutsBeyondOneTransactionAreWrittenLater(t *testing.T) {
	for _, n := range []int{1, ledger.MaxWriteEntries, ledger.MaxWriteEntries + 1, 5 * ledger.MaxWriteEntries} {
		var pending []ledger.Put
		for i := range n {
			pending = append(pending, ledger.Put{Key: fmt.Sprintf("status/%d", i), Value: []byte("running")})
		}
		stored := map[string]string{}
		for transactions := 0; len(pending) > 0; transactions++ {
			require.LessOrEqual(t, transactions, n/ledger.MaxWriteEntries+2)
			puts := nextPuts(pending, ledger.MaxWriteEntries)
			require.LessOrEqual(t, len(puts), ledger.MaxWriteEntries)
			count := len(pending)
			if transactions == 0 { // added while the first transaction is in flight
				pending = append(pending, ledger.Put{Key: "status/0", Value: []byte("completed")})
			}
			for _, p := range puts {
				stored[p.Key] = string(p.Value)
			}
			pending = dropWritten(pending, count, puts)
		}
		assert.Len(t, stored, n)
		assert.Equal(t, "completed", stored["status/0"])
	}
}

// TestLastPutOfAKeyIsWritten: earlier ones are replaced, and keys that have waited longest come first.
func TestLastPutOfAKeyIsWritten(t *testing.T) {
	put := func(key, value string) ledger.Put { return ledger.Put{Key: key, Value: []byte(value)} }
	pending := []ledger.Put{put("a", "1"), put("b", "1"), put("a", "2"), put("c", "1"), put("b", "2")}
	assert.Equal(t, []ledger.Put{put("a", "2"), put("b", "2")}, nextPuts(pending, 2))
	assert.Equal(t, []ledger.Put{put("c", "1")}, dropWritten(pending, len(pending), nextPuts(pending, 2)))
}
