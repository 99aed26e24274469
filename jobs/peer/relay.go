package peer

import (
	"context"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// relayTimeout bounds a relayed call to the store, in addition to the wait of a watch.
const relayTimeout = 1200 * time.Millisecond

// Relayer makes calls to the store through peers.
type Relayer interface {
	Relay(ctx context.Context, addr string, r RelayRequest) (RelayReply, error)
}

// StoreVia returns the store with all calls relayed through the peer at addr.
func StoreVia(client Relayer, addr string) ledger.Store { return &relayedStore{client, addr} }

// RelayAddr returns the address of the peer that relays the calls of a store from StoreVia, "" for
// other stores.
func RelayAddr(s ledger.Store) string {
	if r, ok := s.(*relayedStore); ok {
		return r.addr
	}
	return ""
}

// relayedStore implements ledger.Store through a peer.
type relayedStore struct {
	client Relayer
	addr   string
}

// call relays a call and converts the error in its reply.
func (s *relayedStore) call(ctx context.Context, r RelayRequest) (RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+r.Wait)
	defer cancel()
	out, err := s.client.Relay(ctx, s.addr, r)
	if err != nil {
		return out, verdict.Wrap(err, verdict.Of(err), ledger.CodeStoreUnavailable, "call the store via peer %s", s.addr)
	}
	if out.Message != "" {
		return out, verdict.New(out.Verdict, out.Code, "call the store via peer %s: %s", s.addr, out.Message)
	}
	return out, nil
}

func (s *relayedStore) Get(ctx context.Context, key string, stale bool) (ledger.Item, bool, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpGet, Key: key, Stale: stale})
	return out.Item, out.Found, err
}

func (s *relayedStore) Range(ctx context.Context, prefix, after string, stale bool) (ledger.Page, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpRange, Key: prefix, After: after, Stale: stale})
	return out.Page, err
}

func (s *relayedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpWatch, Key: prefix, Revision: after, Wait: wait})
	return out.Changes, err
}

func (s *relayedStore) Commit(ctx context.Context, t ledger.Txn) (ledger.TxnResult, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpCommit, Txn: t})
	return out.Result, err
}

func (s *relayedStore) GrantLease(ctx context.Context, ttl time.Duration) (ledger.LeaseID, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpGrant, Wait: ttl})
	return out.Lease, err
}

func (s *relayedStore) KeepAlive(ctx context.Context, id ledger.LeaseID) (bool, error) {
	out, err := s.call(ctx, RelayRequest{Op: OpKeepAlive, Lease: id})
	return out.Found, err
}

func (s *relayedStore) EndLease(ctx context.Context, id ledger.LeaseID) error {
	_, err := s.call(ctx, RelayRequest{Op: OpEndLease, Lease: id})
	return err
}

// ServeRelay makes a call to s for another daemon.
func ServeRelay(s ledger.Store, r RelayRequest) RelayReply {
	timeout := relayTimeout
	if r.Op == OpWatch {
		timeout += r.Wait
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out RelayReply
	err := executeRelay(ctx, s, r, &out)
	if err != nil {
		out.Message, out.Verdict, out.Code = err.Error(), verdict.Of(err), verdict.CodeOf(err)
	}
	return out
}

func executeRelay(ctx context.Context, s ledger.Store, r RelayRequest, out *RelayReply) (err error) {
	switch r.Op {
	case OpGet:
		out.Item, out.Found, err = s.Get(ctx, r.Key, r.Stale)
	case OpRange:
		out.Page, err = s.Range(ctx, r.Key, r.After, r.Stale)
	case OpWatch:
		out.Changes, err = s.Watch(ctx, r.Key, r.Revision, r.Wait)
	case OpCommit:
		out.Result, err = s.Commit(ctx, r.Txn)
	case OpGrant:
		out.Lease, err = s.GrantLease(ctx, r.Wait)
	case OpKeepAlive:
		out.Found, err = s.KeepAlive(ctx, r.Lease)
	case OpEndLease:
		err = s.EndLease(ctx, r.Lease)
	default:
		err = verdict.New(verdict.NotRun, CodePeerUnreachable, "unknown store operation %d", r.Op)
	}
	return err
}
