// Package node is the daemon of the job subsystem. It connects the gateway, the ledger and
// the peers, and runs the scheduler while this daemon is the owner, the elected leader.
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

// Settings holds the settings of one daemon.
type Settings struct {
	Node        string
	Zone        string
	IP          string
	CallersAddr string // listener for callers
	ReadyAddr   string // listener for the load balancer's health checks
	PeerPort    int
	MetricsPort int
	StoreAddr   string
	ManagerAddr string
	AdvisorAddr string  // "" if no queue needs advice
	MemoryMB    int     // memory limit of the process; 0: unknown
	MaxFDs      int     // limit of its open descriptors; 0: unknown
	Cores       float64 // CPU limit of the process
	LinkMbps    float64 // bandwidth of the daemon's network link; 0: unknown

	MaxTaskLease    time.Duration // longest lease that workers accept
	StopGrace       time.Duration // between SIGTERM and SIGKILL
	DutyHandover    time.Duration // minimum time between instance orders of two duty holders
	MovesPerSec     float64       // rate of instance orders that the platform accepts; 0: unlimited
	ToleratedZones  int           // availability zones that may be lost at the same time
	MinStoreLease   time.Duration // shortest lease that the store grants
	MaxValueBytes   int           // largest value that the store accepts; 0: unknown
	StatusRetention time.Duration // how long the state of ended jobs is kept
	RequireKeys     bool          // callers need a tenant's key, except on public queues
	// MaxConfigAge is how long keys are accepted after the configuration was last known to be the
	// newest. 0 means without limit, so that an unavailable store rejects nobody.
	MaxConfigAge time.Duration

	Policy policy.Settings
}

// Validate returns all invalid settings in one error.
func (s *Settings) Validate() error {
	var errs []error
	for _, a := range []struct{ name, value string }{
		{"CallersAddr", s.CallersAddr}, {"ReadyAddr", s.ReadyAddr}, {"StoreAddr", s.StoreAddr}, {"ManagerAddr", s.ManagerAddr},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			errs = append(errs, fmt.Errorf("%s: invalid address %q: %w", a.name, a.value, err))
		}
	}
	if s.Node == "" {
		errs = append(errs, errors.New("Node is empty"))
	}
	if s.PeerPort <= 0 {
		errs = append(errs, fmt.Errorf("PeerPort is %d, must be positive", s.PeerPort))
	}
	if s.MaxTaskLease <= 0 {
		errs = append(errs, fmt.Errorf("MaxTaskLease is %s, must be positive", s.MaxTaskLease))
	}
	if s.MemoryMB < 0 || s.MaxFDs < 0 {
		errs = append(errs, fmt.Errorf("MemoryMB is %d and MaxFDs %d, must not be negative", s.MemoryMB, s.MaxFDs))
	}
	if s.MaxValueBytes < 0 {
		errs = append(errs, fmt.Errorf("MaxValueBytes is %d, must not be negative", s.MaxValueBytes))
	}
	if s.MovesPerSec < 0 {
		errs = append(errs, fmt.Errorf("MovesPerSec is %v, must not be negative", s.MovesPerSec))
	}
	if s.ToleratedZones < 0 {
		errs = append(errs, fmt.Errorf("ToleratedZones is %d, must not be negative", s.ToleratedZones))
	}
	if s.MaxConfigAge < 0 {
		errs = append(errs, fmt.Errorf("MaxConfigAge is %s, must not be negative", s.MaxConfigAge))
	}
	return errors.Join(errs...)
}

func (s *Settings) peerAddr() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// Intervals, timeouts and limits of the daemon.
const (
	// storeLease is the time to live of this daemon's keys in the store, after which a failed
	// owner is detected. A renewal costs a tenth of a store call.
	storeLease    = 2 * time.Second
	renewInterval = 500 * time.Millisecond
	// leaseSafetyMargin is the minimum remaining time of a lease that counts as held.
	leaseSafetyMargin = 700 * time.Millisecond
	// storeTimeout bounds store calls that can be repeated. The store answers in 4 ms, and in
	// 300 ms while it is slow.
	storeTimeout = 900 * time.Millisecond
	// renewTimeout bounds one renewal of the lease, so that a third attempt is answered before the
	// lease expires. The store takes 300 ms while it is slow.
	renewTimeout = 600 * time.Millisecond
	// failedRelayPause is how long a peer is not used as a relay to the store after it failed:
	// some disruptions partition several daemons for seconds.
	failedRelayPause = 2 * time.Second
	// watchWait is how long a watch waits for changes. A daemon whose connection was cut by a
	// partition must receive a new configuration within 3 s, which exceeds the sum of watchWait,
	// watchTimeoutMargin and retryPause.
	watchWait = 2 * time.Second
	// watchTimeoutMargin is added to the wait of a watch for its answer.
	watchTimeoutMargin = 700 * time.Millisecond
	// retryPause follows a failed call.
	retryPause = 100 * time.Millisecond
	// electionCPUFactor is how many times more CPU another daemon must have for this one to delay
	// its candidacy by lowCPUElectionDelay. The other daemon becomes a candidate within
	// milliseconds.
	electionCPUFactor   = 1.25
	lowCPUElectionDelay = 250 * time.Millisecond
	// yieldCPUFactor is how many times more CPU another daemon must have for an owner with open
	// jobs to yield to it immediately: such an owner falls behind for as long as a queue lasts,
	// while a change of owner takes 0.3 s.
	yieldCPUFactor = 3
	// cpuStarvedAfter is how long an owner must be short of CPU before it yields to a daemon with
	// more. It is longer than a takeover keeps the CPU busy, as a change of owner would cause
	// another takeover.
	cpuStarvedAfter = 3 * time.Second
	// partitionedYieldAfter is how long an owner that is partitioned from the store continues
	// through relays. A change of owner takes 0.3 s. Relays may be partitioned as well, and then
	// records and instance orders are late by up to a second each time.
	partitionedYieldAfter = 700 * time.Millisecond
	// partitionedElectionDelay is how long a daemon that is partitioned from the store delays its
	// candidacy, so that another one is elected first.
	partitionedElectionDelay = 1500 * time.Millisecond
	// membersInterval is how often the list of live daemons is read, as a stale read.
	membersInterval = 2 * time.Second
	// instancesInterval is how often the owner reads the instance list, minInstancesInterval the
	// minimum time between two reads: a tenth of the duration of a move.
	instancesInterval    = 700 * time.Millisecond
	minInstancesInterval = 150 * time.Millisecond
	// instancesLinkShare is the share of the daemon's link that reads of the list may use: at
	// 2 Mbit/s a list of 132 instances takes 80 ms. bytesPerInstance is the length of an entry.
	instancesLinkShare = 0.1
	bytesPerInstance   = 155
	// maxInstancesInterval keeps the list recent enough for instance orders.
	maxInstancesInterval = 2 * time.Second
	// openJobsShare is the part of a daemon's memory, 1/openJobsShare, that open jobs may take. The garbage
	// collector needs about as much again, and a load holds their records besides.
	openJobsShare = 4
	// tickInterval is the resolution of the owner's timers.
	tickInterval = 25 * time.Millisecond
	// commitInterval is the minimum time between two transactions of the owner. It trades the
	// cost of store calls against how soon a job is reported as completed.
	commitInterval = 40 * time.Millisecond
	// commitBacklog is the number of unwritten jobs from which transactions follow each other
	// without a pause: two full transactions. With pauses, at 300 jobs per second, the backlog would
	// grow, so that callers learn of a job's end, and workers may forget it, with a growing delay.
	commitBacklog = 2 * ledger.MaxWriteEntries
	// jobsInterval is the minimum time between two reads of new submissions by the owner. Daemons
	// also notify it directly; the store is the fallback.
	jobsInterval = 200 * time.Millisecond
	// taskLease is how long workers run tasks without renewal. It outlasts a change of owner
	// (expiry of the store lease, an election and the loading of all jobs) and is short enough that
	// a task whose worker is partitioned is soon restarted.
	taskLease = 4500 * time.Millisecond
	// holdWait is how long a worker waits for a task to end before it answers a hold. It also
	// bounds the age of the progress that the owner knows of its tasks.
	holdWait = 900 * time.Millisecond
	// idleHoldWait is holdWait for workers without tasks, which have no progress to report. Most
	// workers of a fleet are idle, as its queues peak at different times. A worker waits for 2 s at
	// most.
	idleHoldWait = 1800 * time.Millisecond
	// peerTimeout bounds queries to other daemons, mostly the owner.
	peerTimeout = 500 * time.Millisecond
	// instanceOrderTimeout bounds an order for an instance, or a read of the instance list.
	instanceOrderTimeout = time.Second
	// expireInterval is how often expired jobs are removed from the store.
	expireInterval = 5 * time.Second
	// releaseRenewalsWait is how long a new owner that leaves waits until it has renewed the leases
	// of all workers. An owner with a fifth of a core calls 350 workers twice within a second. No
	// tasks are started meanwhile.
	releaseRenewalsWait = time.Second
	// handOverTimeout bounds the release of the owner's lock: that wait and two attempts. If both
	// fail the lease is revoked, which removes the lock.
	handOverTimeout = releaseRenewalsWait + 2*storeTimeout
	// releaseProbeTimeout bounds an attempt to release the lock while the store is unavailable. It
	// is short, as the attempt blocks the owner's work.
	releaseProbeTimeout = 50 * time.Millisecond
	// releaseCommitWait is how long the release waits for a transaction in flight. The store
	// answers in 4 ms; while it is slow the release need not wait longer.
	releaseCommitWait = 100 * time.Millisecond
	// balancerReactionTime is how long the load balancer takes to remove a daemon that is not
	// ready: two health checks, one per second, and the network latency.
	balancerReactionTime = 2500 * time.Millisecond
)
