package intent

import (
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotOwner means that the host that was asked does not own the engine now.
	ErrNotOwner = merry.Sentinel("intent: another host owns the engine")
	// ErrLoadQueueFull means that too many loads are queued for the engine.
	ErrLoadQueueFull = merry.Sentinel("intent: too many loads are queued for the engine")
	// ErrPromptQueueFull means that a prompt would wait too long behind others to be of use.
	ErrPromptQueueFull = merry.Sentinel("intent: too many prompts are queued for the engine")
	// ErrLoadFailed means that the engine failed to load the adapter or base model.
	ErrLoadFailed = merry.Sentinel("intent: the engine failed to load the adapter or model")
	// ErrDraining means that the engine is draining; others may have room.
	ErrDraining = merry.Sentinel("intent: the engine is draining")
)

// waitKey is the key of the expected wait among an error's values.
type waitKey struct{}

// NewPromptQueueFull returns an ErrPromptQueueFull with the time that a prompt would wait.
func NewPromptQueueFull(wait time.Duration) error {
	return merry.Wrap(ErrPromptQueueFull, merry.WithValue(waitKey{}, wait))
}

// WaitOf returns the wait that an error carries, zero where it carries none.
func WaitOf(err error) time.Duration {
	wait, _ := merry.Value(err, waitKey{}).(time.Duration)
	return wait
}

// codes are the names of the errors between hosts.
var codes = map[string]error{
	"elsewhere": ErrNotOwner, "busy": ErrLoadQueueFull, "crowded": ErrPromptQueueFull, "failed": ErrLoadFailed, "leaves": ErrDraining,
}

// Code returns the name of an error, empty for nil.
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

// EncodeError returns the form in which hosts send an error to each other: its code and, if it carries one, the wait.
func EncodeError(err error) string {
	if wait := WaitOf(err); wait > 0 {
		return Code(err) + " " + wait.String()
	}
	return Code(err)
}

// DecodeError returns the error that EncodeError encoded.
func DecodeError(text string) error {
	code, rest, ok := strings.Cut(text, " ")
	err := fromCode(code)
	if !ok || !errors.Is(err, ErrPromptQueueFull) {
		return err
	}
	wait, wrong := time.ParseDuration(rest)
	if wrong != nil {
		return err // sent by another version of the program; the wait is optional
	}
	return NewPromptQueueFull(wait)
}

// fromCode returns the error of a code, nil for the empty one.
func fromCode(code string) error {
	if code == "" {
		return nil
	}
	if err, ok := codes[code]; ok {
		return err
	}
	return ErrLoadFailed
}
