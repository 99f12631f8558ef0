package engine_test

import (
	"errors"
	"testing"

	"damaskreach/internal/engine"
	"damaskreach/pkg/verd"
)

func TestNotRunCarriesTheVerdict(t *testing.T) {
	err := engine.NotRun(errors.New("dialing"))
	if got, want := verd.Of(err), verd.NotRun; got != want {
		t.Errorf("verd.Of(NotRun(err)) = %v, want %v", got, want)
	}
	if got, want := verd.Of(errors.New("dialing")), verd.MayHaveRun; got != want {
		t.Errorf("verd.Of(unmarked) = %v, want %v", got, want)
	}
}
