package shell_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"damaskreach/internal/shell"
)

// Operators' scripts go by exit codes: one that takes a wrong command line, or settings with a fault, for a program that ran
// would go on with nothing running.
func TestCommandLinesAndTheirExitCodes(t *testing.T) {
	fault := errors.New("line 3: beat")
	for _, c := range []struct {
		args string
		path bool // settings are named by the environment
		want int
		says string
	}{
		{"--version", false, shell.OK, "p 1.0"},
		{"--help", false, shell.OK, "what it does"},
		{"check good", false, shell.OK, "good: no fault found"},
		{"check bad", false, shell.Usage, "line 3: beat"},
		{"--config good", false, 7, ""},
		{"", true, 8, ""},
		{"", false, shell.Usage, "give --config FILE"},
		{"one two three", true, shell.Usage, "give --config FILE"},
		{"--bogus", true, shell.Usage, "bogus"},
	} {
		var out bytes.Buffer
		s := shell.Shell{
			Name: "p", Version: "1.0", About: "what it does", File: "settings", Out: &out, Err: &out,
			Check: func(path string) error {
				if path == "bad" {
					return fault
				}
				return nil
			},
			Serve: func(path string) int {
				if path == "environment" {
					return 8
				}
				return 7
			},
		}
		if c.path {
			s.Path = func() string { return "environment" }
		}
		if got := s.Run(strings.Fields(c.args)); got != c.want || !strings.Contains(out.String(), c.says) {
			t.Errorf("%q: exit code %d and %q, want %d and %q", c.args, got, out.String(), c.want, c.says)
		}
	}
}
