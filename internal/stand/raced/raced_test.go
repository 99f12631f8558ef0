package raced_test

import (
	"slices"
	"testing"

	"damaskreach/internal/stand/raced"
)

// A program with a race writes a report among its lines and goes on. A test that does not look for it passes, and the
// race reaches users.
func TestReportsAreFoundAmongLines(t *testing.T) {
	output := []byte("{\"msg\":\"started\"}\n==================\nWARNING: DATA RACE\nWrite at 0x00c000012345 by goroutine 7:\n")
	if got, want := string(raced.Report(output)), "WARNING: DATA RACE\nWrite at 0x00c000012345 by goroutine 7:\n"; got != want {
		t.Errorf("Report = %q, want %q", got, want)
	}
	if got := raced.Report([]byte("{\"msg\":\"started\"}\n")); got != nil {
		t.Errorf("Report = %q, want nil", got)
	}
}

// The programs of a test under the detector are built with it, and only those: it makes them several times slower.
func TestProgramsAreBuiltAsTheTestIs(t *testing.T) {
	if got := slices.Contains(raced.Flags(), "-race"); got != detector {
		t.Errorf("Flags contain -race: %v, want %v", got, detector)
	}
}
