package node

const (
	// bodyMemoryShare is the part of a daemon's memory, 1/bodyMemoryShare, for bodies of callers' requests and the jobs
	// decoded from them.
	bodyMemoryShare = 8
	// defaultMemoryMB applies if the platform states no limit.
	defaultMemoryMB = 256
)

// bodyBudget returns the memory in bytes for bodies that are being received.
func (s *Settings) bodyBudget() int64 {
	mb := s.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return int64(mb) << 20 / bodyMemoryShare
}
