// Package node is the daemon of the job subsystem: it wires the gateway, the
// ledger, the peers and, while this daemon is the owner, the scheduler.
package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/policy"
)

// Settings of one daemon.
type Settings struct {
	Node        string
	Zone        string
	IP          string
	CallersAddr string // callers connect here
	ReadyAddr   string // the balancer asks here whether to send callers
	PeerPort    int
	MetricsPort int
	StoreAddr   string
	ManagerAddr string
	AdvisorAddr string  // "" if no queue needs advice
	MemoryMB    int     // limit of the process
	Cores       float64 // share of the processor that the process has
	LinkMbps    float64 // of the daemon's network link; 0: not known

	MaxTaskLease  time.Duration // longest lease that workers give
	StopGrace     time.Duration // between SIGTERM and SIGKILL
	DutyHandover  time.Duration // between orders of two holders of the duty
	MovesPerSec   float64       // orders for instances that the platform accepts; 0: any number
	MinStoreLease time.Duration
	KeepStatus    time.Duration // of ended jobs
	RequireKeys   bool          // callers need the key of a tenant, but for public queues
	// MaxConfigAge is how long a daemon that hears nothing of the configuration goes on taking
	// its keys for good; 0: for ever, so that a store that is away stops nobody.
	MaxConfigAge time.Duration

	Policy policy.Settings
}

// Validate returns all mistakes in the settings.
func (s *Settings) Validate() error {
	var errs []error
	for _, a := range []struct{ key, value string }{
		{"CallersAddr", s.CallersAddr}, {"ReadyAddr", s.ReadyAddr}, {"StoreAddr", s.StoreAddr}, {"ManagerAddr", s.ManagerAddr},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is no address: %w", a.key, a.value, err))
		}
	}
	if s.Node == "" {
		errs = append(errs, errors.New("Node is empty"))
	}
	if s.PeerPort <= 0 {
		errs = append(errs, fmt.Errorf("PeerPort is %d", s.PeerPort))
	}
	if s.MaxTaskLease <= 0 {
		errs = append(errs, fmt.Errorf("MaxTaskLease is %s", s.MaxTaskLease))
	}
	if s.MovesPerSec < 0 {
		errs = append(errs, fmt.Errorf("MovesPerSec is %v", s.MovesPerSec))
	}
	if s.MaxConfigAge < 0 {
		errs = append(errs, fmt.Errorf("MaxConfigAge is %s, must not be negative", s.MaxConfigAge))
	}
	return errors.Join(errs...)
}

func (s *Settings) peerAddr() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// Figures of the daemon.
const (
	// storeLease is the time to live of this daemon's keys: an owner that is
	// gone is noticed so late. Renewals cost a tenth of a call.
	storeLease    = 2 * time.Second
	renewInterval = 500 * time.Millisecond
	// leaseSafetyMargin is left of the lease when the last order for an instance may
	// be sent.
	leaseSafetyMargin = 700 * time.Millisecond
	// storeTimeout bounds calls that can be repeated: the store answers in 4 ms,
	// and in 300 ms in its slow hours.
	storeTimeout = 900 * time.Millisecond
	// renewTimeout bounds one renewal of the lease, so that a third one is
	// answered before the lease ends. The store takes 300 ms in its slow hours.
	renewTimeout = 600 * time.Millisecond
	// failedRelayPause is how long a peer is not asked to call the store after its way
	// failed: some disruptions cut off several daemons for seconds.
	failedRelayPause = 2 * time.Second
	// watchWait is how long a watch waits for changes. A daemon that hangs on a
	// connection which a partition has cut must hear of a new configuration within
	// 3 s: watchWait, watchReserve and retryPause are less.
	watchWait = 2 * time.Second
	// watchTimeoutMargin is added for the answer.
	watchTimeoutMargin = 700 * time.Millisecond
	// retryPause follows a failed call.
	retryPause = 100 * time.Millisecond
	// electionCPUFactor is by how much more of a processor another daemon has to have to
	// go before this one in an election, and strongerFirst how long it is left to
	// it: a stronger one tries within some milliseconds.
	electionCPUFactor   = 1.25
	weakerElectionDelay = 250 * time.Millisecond
	// yieldCPUFactor is by how much more another daemon has to have for an owner with work
	// to yield to it at once: so weak an owner falls behind a queue for as long as it lasts, and
	// the change takes 0.3 s.
	yieldCPUFactor = 3
	// cpuStarvedAfter is how long an owner is short of processor time before it gives
	// way to a stronger daemon: longer than a takeover keeps it busy, which a change would cost
	// once more.
	cpuStarvedAfter = 3 * time.Second
	// partitionedYieldAfter is how long an owner goes on by way of its peers while its own way to the store
	// is cut. A change of owner takes 0.3 s; by way of peers, some of which may be cut off as well,
	// records and orders for instances are late by up to a second each time.
	partitionedYieldAfter = 700 * time.Millisecond
	// partitionedElectionDelay is how long a daemon whose own way is cut leaves an election to the others.
	partitionedElectionDelay = 1500 * time.Millisecond
	// membersInterval is how often the list of live daemons is read, stale.
	membersInterval = 2 * time.Second
	// instancesInterval is how often the owner reads the instance list, and
	// instancesLeast the least time between two readings: a tenth of the time
	// that a move takes.
	instancesInterval    = 700 * time.Millisecond
	minInstancesInterval = 150 * time.Millisecond
	// instancesLinkShare is how much of the daemon's link readings of the list may take:
	// at 2 Mbit/s one of 132 instances takes 80 ms. bytesPerInstance is an
	// entry's length in the list.
	instancesLinkShare = 0.1
	bytesPerInstance   = 155
	// maxInstancesInterval keeps the list young enough for orders for instances.
	maxInstancesInterval = 2 * time.Second
	// tickInterval is the resolution of the owner's timers.
	tickInterval = 25 * time.Millisecond
	// commitInterval is the least time between two transactions of the owner. It
	// trades the store's price of a call against when a job is shown as completed.
	commitInterval = 40 * time.Millisecond
	// commitBacklog is how many jobs may wait to be written before transactions follow
	// each other without a pause: two transactions' worth. At 300 jobs a second callers
	// would hear of an end, and workers forget it, later and later.
	commitBacklog = 2 * ledger.MaxWriteEntries
	// jobsInterval is the least time between two readings of new submissions by the
	// owner. Daemons tell it of them at once; the store is the second way.
	jobsInterval = 200 * time.Millisecond
	// taskLease is how long workers' tasks live without renewal. It outlasts a
	// change of owner (the store's lease, an election and the reading of all
	// jobs) and ends soon enough for a task that is cut off to be started anew.
	taskLease = 4500 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers; it is
	// also how old its tasks' progress may be.
	holdWait = 900 * time.Millisecond
	// idleHoldWait is the same for workers on which nothing runs, of which nothing is to be
	// seen: most of a fleet, the queues of which rise and fall by turns. A worker waits for
	// 2 s at most.
	idleHoldWait = 1800 * time.Millisecond
	// peerTimeout bounds a question to the owner.
	peerTimeout = 500 * time.Millisecond
	// instanceOrderTimeout bounds an order for an instance.
	instanceOrderTimeout = time.Second
	// expireInterval is how often ended jobs are removed from the store.
	expireInterval = 5 * time.Second
	// handOverTimeout bounds the release of an owner's lock when it stops: two tries.
	// If both fail the lease is ended, and the lock with it.
	handOverTimeout = 2 * storeTimeout
	// releaseProbeTimeout bounds a try to release the lock while the store is away: the owner
	// goes on with its work meanwhile.
	releaseProbeTimeout = 50 * time.Millisecond
	// releaseCommitWait is how long the release waits for a transaction that is under
	// way. The store answers in 4 ms; in its slow hours the release need not wait.
	releaseCommitWait = 100 * time.Millisecond
	// balancerReactionTime is how long the balancer takes to leave out a daemon that
	// is not ready: two questions, one a second, and the way.
	balancerReactionTime = 2500 * time.Millisecond
)
