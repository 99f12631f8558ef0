package setup_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/setup"
)

const whole = `
name = "edge-1"
ip = "10.0.0.1"
centre = "dc"
callers = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
lookup = "10.0.0.1:8002"
peers = "10.0.0.1:7380"
metrics = "10.0.0.1:9464"
store = "10.0.9.9:8142"
cores = 0.4
memory = 284
files = 4100
beat = "1200ms"
drain = "2000ms"
grace = "8s"
turn = "3000ms"
version = "5000ms"
life = "5s"
share = 0.2
extra = 52
window = "10s"
level = "info"
`

func TestParseReadsAWholeFile(t *testing.T) {
	s, faults := setup.Parse([]byte(whole))
	if len(faults) > 0 {
		t.Fatalf("faults = %v, want none", faults)
	}
	if got, want := s.Beat, 1200*time.Millisecond; got != want {
		t.Errorf("beat = %v, want %v", got, want)
	}
}

// A settings file has a mistake. Each is named with its key, so that an operator finds it without reading the program.
func TestFaultsNameTheirKeys(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`ip = "10.0.0.1"`, ``, "ip"},
		{`callers = "10.0.0.1:8000"`, `callers = "edge:8000"`, "callers"},
		{`grace = "8s"`, `grace = "8"`, "grace"},
		{`turn = "3000ms"`, `turn = "0s"`, "turn"},
		{`memory = 284`, `memory = "much"`, "memory"},
		{`level = "info"`, `level = "loud"`, "level"},
		{`share = 0.2`, `share = -1.0`, "share"},
		{`life = "5s"`, `life = "5s"` + "\nlive = true", "live"},
	} {
		_, faults := setup.Parse([]byte(strings.Replace(whole, c.old, c.new, 1)))
		found := false
		for _, f := range faults {
			found = found || f.Key == c.key
		}
		if !found {
			t.Errorf("with %q: faults = %v, want one of %q", c.new, faults, c.key)
		}
	}
}

// The template of the deploy folder is filled in by the platform; a setting that this program does not know would keep every
// host from starting.
func TestTemplateNamesOnlyKnownSettings(t *testing.T) {
	data, err := os.ReadFile("../../deploy/node.toml")
	if err != nil {
		t.Fatalf("ReadFile() = %v, want nil", err)
	}
	for line := range strings.Lines(string(data)) {
		key, _, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		if !strings.Contains(whole+"loads = ", key+" = ") {
			t.Errorf("the template sets %q, want known settings only", key)
		}
	}
}

// The page of settings is what operators go by: an option that it leaves out is as good as none.
func TestPageNamesEverySetting(t *testing.T) {
	data, err := os.ReadFile("../../docs/HOST.md")
	if err != nil {
		t.Fatalf("ReadFile() = %v, want nil", err)
	}
	for line := range strings.Lines(whole + "loads = ") {
		key, _, ok := strings.Cut(line, " = ")
		if ok && !strings.Contains(string(data), "`"+key+"`") {
			t.Errorf("the page does not name %q", key)
		}
	}
}
