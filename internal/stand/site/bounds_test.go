package site_test

import (
	"testing"

	"github.com/BurntSushi/toml"
)

// limits are the bounds of testdata/bounds.toml.
type limits struct {
	Allocations     float64 `toml:"allocations_per_token"`
	AllocationsRace float64 `toml:"allocations_per_token_race"`
	Token           float64 `toml:"bytes_per_token"`
	Ask             float64 `toml:"bytes_per_ask"`
	Idle            float64 `toml:"idle_bytes_per_second"`     // that a node sends and receives
	Control         float64 `toml:"control_bytes_per_request"` // between nodes beside the answer
}

func readLimits(t *testing.T) limits {
	t.Helper()
	var l limits
	meta, err := toml.DecodeFile("testdata/bounds.toml", &l)
	if err != nil || len(meta.Undecoded()) > 0 {
		t.Fatalf("reading the bounds: %v, unknown %v", err, meta.Undecoded())
	}
	return l
}

// wantMost checks a figure that does not depend on the machine.
func wantMost(t *testing.T, what string, got, most float64) {
	t.Helper()
	t.Logf("%s: %.2f, bound %v", what, got, most)
	if got > most || most == 0 {
		t.Errorf("%s: got %.2f, want at most %v", what, got, most)
	}
}
