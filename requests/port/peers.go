package port

import (
	"context"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/slots"
)

// Heartbeat is sent by one entry daemon to another. It reports the sender's state
// and asks the receiver to confirm that it knows of no view newer than Epoch.
type Heartbeat struct {
	From     fleet.Incarnation
	ID       fleet.EntryID
	Epoch    fleet.Epoch    // of the view in force at the sender
	Highest  fleet.Epoch    // newest epoch the sender knows
	Revision fleet.Revision // up to which the sender's records are complete
	Settled  bool           // the sender uses no more than its slot shares under Epoch
	Stopping bool           // the sender is leaving the view and has nothing in flight
}

// HeartbeatReply answers a Heartbeat with the receiver's own state.
type HeartbeatReply struct {
	From     fleet.Incarnation
	Epoch    fleet.Epoch
	Highest  fleet.Epoch
	Revision fleet.Revision
	Settled  bool
	Stopping bool
}

// Changes are a peer's records that are newer than the requested revision.
type Changes struct {
	Events     []Event
	CompleteTo fleet.Revision
	// Instances is the peer's newest instance list. It is set only if the
	// requested revision was 0.
	Instances []fleet.Instance
}

// BorrowRequest asks a peer for one idle slot of one of the workers.
type BorrowRequest struct {
	Loan     slots.LoanID
	Epoch    fleet.Epoch
	Borrower fleet.Incarnation
	Workers  []fleet.InstanceID
}

// BorrowReply is a peer's reply to a BorrowRequest.
type BorrowReply struct {
	Granted bool
	Loan    slots.Loan
}

// Peers reaches the other entry daemons by the address of their peer listener.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the peer's state.
	Heartbeat(ctx context.Context, addr string, hb Heartbeat) (HeartbeatReply, error)
	// Changes fetches the peer's records that are newer than revision since.
	Changes(ctx context.Context, addr string, since fleet.Revision) (Changes, error)
	// Claim asks the owner of an idempotency key whether a request may run.
	Claim(ctx context.Context, addr string, r idempotency.Request) (idempotency.Reply, error)
	// ReportAttempt reports the state of an attempt to the owner of its key. recorded
	// is false if the peer does not own the key's partition.
	ReportAttempt(ctx context.Context, addr string, claim idempotency.Claim) (recorded bool, err error)
	// Transfer hands a partition of the idempotency keys over. accepted is false if
	// the peer does not own the partition.
	Transfer(ctx context.Context, addr string, t idempotency.Transfer) (accepted bool, err error)
	// Borrow asks for the loan of a slot.
	Borrow(ctx context.Context, addr string, r BorrowRequest) (BorrowReply, error)
	// Return ends loans granted by the peer.
	Return(ctx context.Context, addr string, loans []slots.LoanID) error
	// Burn fetches the peer's request counts against its objectives.
	Burn(ctx context.Context, addr string) (BurnCounts, error)
}

// PeerServer handles the calls of peers; see the methods of Peers.
type PeerServer interface {
	OnHeartbeat(hb Heartbeat) HeartbeatReply
	OnChanges(since fleet.Revision) Changes
	OnClaim(r idempotency.Request) idempotency.Reply
	OnAttemptReport(claim idempotency.Claim) (recorded bool)
	OnTransfer(t idempotency.Transfer) (accepted bool)
	OnBorrow(r BorrowRequest) BorrowReply
	OnReturn(loans []slots.LoanID)
	OnBurn() BurnCounts
}

// BurnCounts are one daemon's request counts against its service level objectives,
// from which the burn rates of the error budgets are computed.
type BurnCounts struct {
	Entry fleet.EntryID
	Rows  []BurnRow
}

// BurnRow counts the requests of one class of one service over one window.
type BurnRow struct {
	Service fleet.ServiceName
	Class   fleet.ClassName
	Seconds int // length of the window
	Total   int64
	Bad     int64 // failed or later than the latency objective
}
