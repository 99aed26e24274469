package etcdkv

import (
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
)

// The types below are the JSON forms of the etcd v3 API messages that postmount
// uses (package etcdserverpb): bytes are base64, 64-bit integers decimal strings.

type header struct {
	Revision decimalInt64 `json:"revision"`
}

// keyValue is one key with its value and the revision of its last change.
type keyValue struct {
	Key         []byte       `json:"key"`
	ModRevision decimalInt64 `json:"mod_revision"`
	Value       []byte       `json:"value"`
}

func (kv keyValue) toPort() port.KV {
	return port.KV{Key: string(kv.Key), Value: kv.Value, Revision: fleet.Revision(kv.ModRevision)}
}

// rangeRequest reads the keys from Key up to but excluding RangeEnd, or Key alone if
// RangeEnd is empty.
type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// compare is a condition of a transaction: Result relates the Target of Key, here its
// modification revision, to ModRevision.
type compare struct {
	Key         []byte       `json:"key"`
	Target      string       `json:"target"`
	Result      string       `json:"result"`
	ModRevision decimalInt64 `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte       `json:"key"`
	Value []byte       `json:"value"`
	Lease decimalInt64 `json:"lease"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

// requestOp is one operation of a transaction; exactly one field is set.
type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

// txnRequest executes Success if every condition in Compare is met.
type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// leaseMessage is the request and the response of the lease calls.
type leaseMessage struct {
	ID  decimalInt64 `json:"ID"`
	TTL decimalInt64 `json:"TTL"` // seconds; in a response to a keepalive, 0 if the lease has expired
}

// streamMessage wraps one message of a streaming call.
type streamMessage[T any] struct {
	Result T `json:"result"`
}

// watchCreate starts a watch of a key range. StartRevision is the first revision
// whose changes are sent; ProgressNotify asks for messages without events while
// nothing changes.
type watchCreate struct {
	Key            []byte       `json:"key"`
	RangeEnd       []byte       `json:"range_end"`
	StartRevision  decimalInt64 `json:"start_revision"`
	ProgressNotify bool         `json:"progress_notify"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"` // "DELETE"; absent for a put
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision decimalInt64 `json:"compact_revision"` // oldest revision that can still be watched; 0 unless an older one was asked for
	Events          []watchEvent `json:"events"`
}

func (r watchResponse) events() []port.Event {
	out := make([]port.Event, 0, len(r.Events))
	for _, e := range r.Events {
		out = append(out, port.Event{KV: e.KV.toPort(), Deleted: e.Type == "DELETE"})
	}
	return out
}
