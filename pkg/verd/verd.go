// Package verd says whether a request may have run.
package verd

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// Verdict tells a caller what is known about the execution of a request.
// The zero value is MayHaveRun, so an error nobody classified is never taken for a safe one.
type Verdict uint8

const (
	// MayHaveRun means bytes of the request reached an upstream and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means no byte of the request reached an upstream: repeating it is safe.
	NotRun
	// Ran means the upstream answered in full.
	Ran
)

const (
	textMayHaveRun = "may-have-run"
	textNotRun     = "not-run"
	textRan        = "ran"
)

type valueKey struct{}

// String returns the form used in headers and JSON bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return textNotRun
	case Ran:
		return textRan
	default:
		return textMayHaveRun
	}
}

// MarshalText writes the verdict as its String form.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads the String form and refuses any other word.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case textNotRun:
		*v = NotRun
	case textRan:
		*v = Ran
	case textMayHaveRun:
		*v = MayHaveRun
	default:
		return merry.Errorf("reading a verdict: unknown word %q", text)
	}
	return nil
}

// Mark attaches a verdict to err and returns the marked error; a nil err stays nil.
func Mark(err error, v Verdict) error {
	return merry.Wrap(err, merry.WithValue(valueKey{}, v))
}

// Of returns the verdict err carries, or MayHaveRun where it carries none.
func Of(err error) Verdict {
	if v, ok := merry.Value(err, valueKey{}).(Verdict); ok {
		return v
	}
	var carrier interface{ Outcome() Verdict }
	if errors.As(err, &carrier) {
		return carrier.Outcome()
	}
	return MayHaveRun
}
