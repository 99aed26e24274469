package node

// Shares of a daemon's memory and descriptors. The rest of the descriptors is left to its own connections and files.
const (
	// bodyMemoryShare is the part of the memory, 1/bodyMemoryShare, for bodies of callers' requests and the jobs
	// decoded from them. Calls of peers that are being received have as much.
	bodyMemoryShare = 8
	// connsPerMB bounds callers' connections by the memory: each takes about 40 KB with a header that has no end.
	connsPerMB = 4
	// These are the parts of the descriptors, 1/share, for the connections of each listener. A caller's request may
	// need a connection to the store besides.
	callerFDShare  = 3
	peerFDShare    = 4
	readyFDShare   = 64
	metricsFDShare = 256
	// minConns is the minimum of each listener.
	minConns = 8
	// defaultMemoryMB and defaultMaxFDs apply if the platform states no limit.
	defaultMemoryMB = 256
	defaultMaxFDs   = 4096
)

// bodyBudget returns the memory in bytes for bodies that are being received, of callers or of peers.
func (s *Settings) bodyBudget() int64 {
	mb := s.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return int64(mb) << 20 / bodyMemoryShare
}

// maxConns returns how many connections a listener with a share of the descriptors has open at most.
func (s *Settings) maxConns(share int) int {
	fds := s.MaxFDs
	if fds == 0 {
		fds = defaultMaxFDs
	}
	return max(minConns, fds/share)
}

// maxCallerConns returns how many connections of callers are open at most.
func (s *Settings) maxCallerConns() int {
	n := s.maxConns(callerFDShare)
	if s.MemoryMB > 0 {
		n = min(n, max(minConns, s.MemoryMB*connsPerMB))
	}
	return n
}
