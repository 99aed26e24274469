// Package apikey maps callers' API keys to tenants. Keys are secrets: only their digests are
// kept, so that no log, dump or error message of a daemon can contain one.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Digest is the SHA-256 digest of a key. Looking up digests instead of keys prevents timing
// attacks: the digest of a guess that shares a prefix with a valid key shares none with that
// key's digest.
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
		return fmt.Errorf("invalid key digest, want %d bytes in hexadecimal", len(d))
	}
	copy(d[:], raw)
	return nil
}

// Keyring maps the digest of each key to its tenant.
type Keyring map[Digest]string

// Errors of Add. They don't contain the key.
var (
	ErrEmpty  = errors.New("API key is empty")
	ErrShared = errors.New("API key is already used by another tenant")
)

// Add adds a key of a tenant. It returns ErrEmpty for an empty key and ErrShared for a key of
// another tenant, as either could authenticate a caller as the wrong tenant.
func (k Keyring) Add(key, tenant string) error {
	if key == "" {
		return ErrEmpty
	}
	d := DigestOf(key)
	if other, known := k[d]; known && other != tenant {
		return ErrShared
	}
	k[d] = tenant
	return nil
}

// Tenant returns the tenant of a key; ok is false if the key is unknown.
func (k Keyring) Tenant(key string) (tenant string, ok bool) {
	if key == "" {
		return "", false
	}
	tenant, ok = k[DigestOf(key)]
	return tenant, ok
}
