// Package verdict classifies outcomes of requests by whether the request may have run.
//
// A caller that sees NotRun may resend any request. A caller that sees MayHaveRun may resend only
// an idempotent request, or one with the same Idempotency-Key.
package verdict

import (
	"context"
	"errors"

	"github.com/samber/oops"
)

// Verdict classifies the effect of a request or a store write.
type Verdict uint8

const (
	// MayHaveRun means that the request may have had an effect. It is the zero value, so that an
	// unclassified outcome is never reported as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly had no effect.
	NotRun
	// Done means that the request ran once and its complete response is known.
	Done
)

// Header is the HTTP response header with the verdict for the caller.
const Header = "Postmount-Verdict"

// String returns the wire form of v.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Done:
		return "done"
	default:
		return "may-have-run"
	}
}

// Parse is the inverse of String. It returns MayHaveRun for an unknown string.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "done":
		return Done
	default:
		return MayHaveRun
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	*v = Parse(string(b))
	return nil
}

// Code identifies a kind of failure. Codes are stable and documented for callers.
type Code string

// Error is an error with a verdict and a code.
type Error struct {
	Verdict Verdict
	Code    Code
	err     error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// New returns an error with the given verdict, code and message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	err := oops.Code(string(code)).With("verdict", v.String()).Errorf(format, args...)
	return &Error{Verdict: v, Code: code, err: err}
}

// Wrap returns an error with the given verdict, code and message, and err as its cause.
func Wrap(err error, v Verdict, code Code, format string, args ...any) *Error {
	wrapped := oops.Code(string(code)).With("verdict", v.String()).Wrapf(err, format, args...)
	return &Error{Verdict: v, Code: code, err: wrapped}
}

// Of returns the verdict of err: Done for a nil error, MayHaveRun for an error without a
// verdict.
func Of(err error) Verdict {
	if err == nil {
		return Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the code of err, "" if it has none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// IsContext reports whether err was caused by a cancelled or expired context.
func IsContext(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
