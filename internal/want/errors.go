package want

import (
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrElsewhere means that the host that was asked does not order the engine now.
	ErrElsewhere = merry.Sentinel("want: another host orders the engine")
	// ErrBusy means that too many loads wait for the engine.
	ErrBusy = merry.Sentinel("want: too many loads wait for the engine")
	// ErrCrowded means that a prompt would wait longer for others than is of use.
	ErrCrowded = merry.Sentinel("want: too many prompts wait for the engine")
	// ErrFailed means that the engine did not load what was asked for.
	ErrFailed = merry.Sentinel("want: the engine does not load it")
	// ErrLeaves means that the engine has begun to leave; others may have room.
	ErrLeaves = merry.Sentinel("want: the engine leaves")
)

// waitKey holds how long a prompt would wait.
type waitKey struct{}

// NewCrowded returns an ErrCrowded that tells how long a prompt would wait.
func NewCrowded(wait time.Duration) error {
	return merry.Wrap(ErrCrowded, merry.WithValue(waitKey{}, wait))
}

// Wait returns the wait that an error tells, zero where it tells none.
func Wait(err error) time.Duration {
	wait, _ := merry.Value(err, waitKey{}).(time.Duration)
	return wait
}

// codes name the errors between hosts.
var codes = map[string]error{"elsewhere": ErrElsewhere, "busy": ErrBusy, "crowded": ErrCrowded, "failed": ErrFailed, "leaves": ErrLeaves}

// Code returns the name of an error, empty for none.
func Code(err error) string {
	if err == nil {
		return ""
	}
	for code, known := range codes {
		if errors.Is(err, known) {
			return code
		}
	}
	return "failed"
}

// Text returns the name of an error and, where it tells one, the wait, as hosts send it to each other.
func Text(err error) string {
	if wait := Wait(err); wait > 0 {
		return Code(err) + " " + wait.String()
	}
	return Code(err)
}

// FromText returns the error that a text of Text stands for.
func FromText(text string) error {
	code, rest, ok := strings.Cut(text, " ")
	err := fromCode(code)
	if !ok || !errors.Is(err, ErrCrowded) {
		return err
	}
	wait, wrong := time.ParseDuration(rest)
	if wrong != nil {
		return err // another version of the program: what it tells beside the name is not needed
	}
	return NewCrowded(wait)
}

// fromCode returns the error that a code names, nil for the empty one.
func fromCode(code string) error {
	if code == "" {
		return nil
	}
	if err, ok := codes[code]; ok {
		return err
	}
	return ErrFailed
}
