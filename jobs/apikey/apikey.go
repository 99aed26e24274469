// Package apikey tells which tenant a caller's key belongs to. A key is a secret: only its
// digest is kept, so that no log, dump or error of a daemon can show it.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Digest stands for a key. Finding one in a Ring takes the same time whatever a wrong key has
// in common with a right one: their digests have nothing in common.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return fmt.Errorf("a digest has %d bytes in hexadecimal", len(d))
	}
	copy(d[:], raw)
	return nil
}

// Ring holds the tenant of each key.
type Ring map[Digest]string

// Errors of Add. Neither shows the key.
var (
	ErrEmpty  = errors.New("it is empty")
	ErrShared = errors.New("it belongs to another tenant as well")
)

// Add puts a tenant's key into the ring. A key that says nothing, or that two tenants have,
// would let one of them in as the other.
func (r Ring) Add(key, tenant string) error {
	if key == "" {
		return ErrEmpty
	}
	d := DigestOf(key)
	if other, known := r[d]; known && other != tenant {
		return ErrShared
	}
	r[d] = tenant
	return nil
}

// Tenant returns the tenant that a key belongs to; ok is false if it is nobody's.
func (r Ring) Tenant(key string) (tenant string, ok bool) {
	if key == "" {
		return "", false
	}
	tenant, ok = r[DigestOf(key)]
	return tenant, ok
}
