package peer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/postmount/postmount/internal/netdial"
	"github.com/postmount/postmount/verdict"
)

// Presence says whether another daemon's process is known to run.
type Presence int

// The presences. Only Absent indicates that the process has ended: the connection was refused, as
// no process listens at the address. A partition that refuses connections looks the same.
const (
	Unknown Presence = iota
	Present
	Absent
)

// Durations of Stay calls.
const (
	// maxStay is the maximum duration of one Stay call.
	maxStay = 10 * time.Second
	// stayTime is the duration of the calls of AwaitDisconnect, which repeats them. After as long and
	// stayMargin without a reply, the connection counts as broken: it may have gone silent without a
	// reset. An owner of 300 daemons replies to 150 such calls a second.
	stayTime   = 2 * time.Second
	stayMargin = time.Second
)

// StayRequest asks a peer to reply only after Wait. If the call fails earlier, the connection has
// broken, perhaps because the peer's process has ended.
type StayRequest struct{ Wait time.Duration }

// LookRequest asks a peer whether a process listens at an address.
type LookRequest struct{ Addr string }

// LookReply is the result of a LookRequest.
type LookReply struct{ Presence Presence }

// Stay blocks for the requested time, at most maxStay.
func (s *server) Stay(r StayRequest, _ *Empty) error {
	time.Sleep(min(r.Wait, maxStay))
	return nil
}

// Look reports whether a process listens at the requested address.
func (s *server) Look(r LookRequest, out *LookReply) error {
	out.Presence = s.h.CheckPresence(r.Addr)
	return nil
}

// AwaitDisconnect blocks until a connection to the peer at addr breaks or goes silent and returns the
// error, or nil once ctx ends. The connection is used for nothing else.
func (c *Client) AwaitDisconnect(ctx context.Context, addr string) error {
	dedicated := NewClient()
	defer dedicated.conns.Close()
	for ctx.Err() == nil {
		if err := dedicated.stay(ctx, addr); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// stay makes one Stay call of stayTime.
func (c *Client) stay(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, stayTime+stayMargin)
	defer cancel()
	return c.call(ctx, addr, "Stay", StayRequest{stayTime}, &Empty{})
}

// CheckPresence reports whether a process listens at addr.
func (c *Client) CheckPresence(ctx context.Context, addr string) Presence {
	conn, err := netdial.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		conn.Close()
		return Present
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return Unknown
}

// CheckPresenceVia asks the peer at by whether a process listens at addr.
func (c *Client) CheckPresenceVia(ctx context.Context, by, addr string) (Presence, error) {
	var out LookReply
	if err := c.call(ctx, by, "Look", LookRequest{addr}, &out); err != nil {
		return Unknown, verdict.Wrap(err, verdict.NotRun, CodePeerUnreachable, "ask peer %s whether a process listens at %s", by, addr)
	}
	return out.Presence, nil
}
