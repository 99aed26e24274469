package port

import (
	"context"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/once"
	"github.com/postmount/postmount/requests/slots"
)

// Beat is one member's heartbeat to another. It asks the receiver to confirm
// that it knows nothing newer than Epoch.
type Beat struct {
	From     fleet.Incarnation
	ID       fleet.EntryID
	Epoch    fleet.Epoch    // of the view in force at the sender
	Highest  fleet.Epoch    // newest epoch the sender has heard of
	Revision fleet.Revision // up to which the sender's records are complete
	Settled  bool           // the sender's slot shares are settled under Epoch
	Stopping bool           // the sender has nothing in flight and leaves
}

// BeatReply answers a Beat with the receiver's own standing.
type BeatReply struct {
	From     fleet.Incarnation
	Epoch    fleet.Epoch
	Highest  fleet.Epoch
	Revision fleet.Revision
	Settled  bool
	Stopping bool
}

// Changes are records that a peer knows, newer than asked for.
type Changes struct {
	Events     []Event
	CompleteTo fleet.Revision
	// Instances is the peer's newest instance list; it comes along when the
	// records were asked for from the start.
	Instances []fleet.Instance
}

// BorrowRequest asks a peer for one idle slot of one of the workers.
type BorrowRequest struct {
	Loan     slots.LoanID
	Epoch    fleet.Epoch
	Borrower fleet.Incarnation
	Workers  []fleet.InstanceID
}

// BorrowReply is a peer's answer to a BorrowRequest.
type BorrowReply struct {
	Granted bool
	Loan    slots.Loan
}

// Peers reaches the other entry daemons by the address of their peer listener.
type Peers interface {
	Beat(ctx context.Context, addr string, b Beat) (BeatReply, error)
	Changes(ctx context.Context, addr string, since fleet.Revision) (Changes, error)
	Claim(ctx context.Context, addr string, r once.Request) (once.Reply, error)
	// Note tells the owner of a key what became of an attempt. noted is false
	// if the peer does not own the key's partition.
	Note(ctx context.Context, addr string, n once.Claim) (noted bool, err error)
	Transfer(ctx context.Context, addr string, t once.Transfer) (taken bool, err error)
	Borrow(ctx context.Context, addr string, r BorrowRequest) (BorrowReply, error)
	Return(ctx context.Context, addr string, loans []slots.LoanID) error
	Burn(ctx context.Context, addr string) (BurnCounts, error)
}

// PeerServer is what a daemon offers to its peers.
type PeerServer interface {
	OnBeat(b Beat) BeatReply
	OnChanges(since fleet.Revision) Changes
	OnClaim(r once.Request) once.Reply
	OnNote(n once.Claim) bool
	OnTransfer(t once.Transfer) bool
	OnBorrow(r BorrowRequest) BorrowReply
	OnReturn(loans []slots.LoanID)
	OnBurn() BurnCounts
}

// BurnCounts are one daemon's request counts against its objectives.
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
	Bad     int64 // not answered well and in time
}
