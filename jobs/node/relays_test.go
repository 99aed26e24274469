package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
)

// TestRelaysAreBalancedByCPU: daemons that are turned away at the same moment must not all go
// by the same peer, whose link carries little more than its own traffic; strong
// daemons carry more.
func TestRelaysAreBalancedByCPU(t *testing.T) {
	const strong, weak = 6, 34
	var list []ledger.Member
	for n := range strong + weak {
		m := ledger.Member{Node: fmt.Sprintf("d%02d", n), Addr: fmt.Sprintf("d%02d:1", n), Cores: 0.2}
		if n < strong {
			m.Cores = 0.8
		}
		list = append(list, m)
	}
	chosen := map[string]int{}
	byStrong := 0
	for n := range strong + weak {
		d := &Node{settings: Settings{Node: list[n].Node}, clock: &fakeClock{}, rng: newLockedRand(list[n].Node)}
		d.members.Store(&list)
		first := d.Relay()
		require.NotNil(t, first)
		addr := peer.RelayAddr(first)
		assert.NotEqual(t, list[n].Addr, addr)
		assert.Equal(t, addr, peer.RelayAddr(d.Relay()), "one that serves is kept")
		chosen[addr]++
		if addr < list[strong].Addr {
			byStrong++
		}
		d.RelayFailed(first)
		assert.NotEqual(t, addr, peer.RelayAddr(d.Relay()), "one that does not is left")
	}
	for addr, n := range chosen {
		most := 9
		if addr >= list[strong].Addr {
			most = 2
		}
		assert.LessOrEqual(t, n, most, "%s carries too many", addr)
	}
	assert.Greater(t, byStrong, 20)
}
