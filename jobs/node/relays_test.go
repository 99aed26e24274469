package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
)

// TestRelaysAreBalancedByCPU: daemons that lose the store at the same moment must not all use the
// same relay, whose link carries little more than its own traffic. Daemons with more CPU, and so
// more bandwidth, are relays for more daemons.
func TestRelaysAreBalancedByCPU(t *testing.T) {
	const large, small = 6, 34
	var list []ledger.Member
	for n := range large + small {
		m := ledger.Member{Node: fmt.Sprintf("d%02d", n), Addr: fmt.Sprintf("d%02d:1", n), Cores: 0.2}
		if n < large {
			m.Cores = 0.8
		}
		list = append(list, m)
	}
	chosen := map[string]int{}
	viaLarge := 0
	for n := range large + small {
		d := &Node{settings: Settings{Node: list[n].Node}, clock: &fakeClock{}, rng: newLockedRand(list[n].Node)}
		d.members.Store(&list)
		first := d.Relay()
		require.NotNil(t, first)
		addr := peer.RelayAddr(first)
		assert.NotEqual(t, list[n].Addr, addr)
		assert.Equal(t, addr, peer.RelayAddr(d.Relay()), "a working relay is kept")
		chosen[addr]++
		if addr < list[large].Addr {
			viaLarge++
		}
		d.RelayFailed(first)
		assert.NotEqual(t, addr, peer.RelayAddr(d.Relay()), "a failed relay is replaced")
	}
	for addr, n := range chosen {
		most := 9
		if addr >= list[large].Addr {
			most = 2
		}
		assert.LessOrEqual(t, n, most, "%s is the relay of too many daemons", addr)
	}
	assert.Greater(t, viaLarge, 20)
}
