package want

import (
	"errors"

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
)

// codes name the errors between hosts.
var codes = map[string]error{"elsewhere": ErrElsewhere, "busy": ErrBusy, "crowded": ErrCrowded, "failed": ErrFailed}

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

// FromCode returns the error that a code names, nil for the empty one.
func FromCode(code string) error {
	if code == "" {
		return nil
	}
	if err, ok := codes[code]; ok {
		return err
	}
	return ErrFailed
}
