package start_test

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskreach/internal/ticker"
	"damaskreach/platform"
)

// hangUpInterval is the time between two SIGHUPs.
const hangUpInterval = 20 * time.Millisecond

// hostEnv makes the test program run as a host with the settings file that it names.
const hostEnv = "DAMASKREACH_TEST_HOST"

// settings are those of a host whose store is not reachable.
const settings = `
name = "edge-1"
ip = "127.0.0.1"
centre = "dc"
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
lookup = "127.0.0.1:0"
peers = "127.0.0.1:0"
store = "127.0.0.1:1"
cores = 0.4
memory = 284
files = 4100
beat = "1200ms"
drain = "2000ms"
grace = "3s"
turn = "3000ms"
version = "5000ms"
life = "5s"
share = 0.2
extra = 52
window = "10s"
level = "info"
`

func TestMain(m *testing.M) {
	if path := os.Getenv(hostEnv); path != "" {
		os.Exit(platform.Run([]string{"--config", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A host gets a SIGHUP while it stops. It must not be killed by that, or requests in flight would get no answer.
func TestStoppingHostSurvivesSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	host, out := startHost(t, path)
	lines := bufio.NewScanner(out)
	waitForLine(t, lines, `"started"`)
	sendSignal(t, host, syscall.SIGTERM)
	waitForLine(t, lines, `"leaving"`)
	stop := sendHangups(t, host)
	waitForLine(t, lines, `"stopped"`)
	stop()
	if err := host.Wait(); err != nil {
		t.Errorf("the host ended with %v, want success", err)
	}
}

// A host gets a SIGHUP while it first reads its settings. Killed by that, it would have to be started again, without service meanwhile.
func TestStartingHostSurvivesSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatalf("making a pipe: %v", err)
	}
	host, out := startHost(t, path)
	reads, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the host opens the file
	if err != nil {
		t.Fatalf("opening the settings: %v", err)
	}
	sendSignal(t, host, syscall.SIGHUP)
	if _, err := reads.WriteString(settings); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	reads.Close()
	lines := bufio.NewScanner(out)
	waitForLine(t, lines, `"started"`)
}

// The reader of a host's log exits. Killed by its next line, the host would leave all requests in flight without an answer.
func TestHostSurvivesClosedStdout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	host, out := startHost(t, path)
	waitForLine(t, bufio.NewScanner(out), `"started"`)
	if err := out.Close(); err != nil {
		t.Fatalf("closing the output: %v", err)
	}
	sendSignal(t, host, syscall.SIGTERM)
	if err := host.Wait(); err != nil {
		t.Errorf("the host ended with %v, want success", err)
	}
}

// startHost starts a host, which is killed when the test ends.
func startHost(t *testing.T, path string) (host *exec.Cmd, out io.ReadCloser) {
	t.Helper()
	host = exec.Command(os.Args[0])
	host.Env = append(os.Environ(), hostEnv+"="+path)
	out, err := host.StdoutPipe()
	if err != nil {
		t.Fatalf("output: %v", err)
	}
	if err := host.Start(); err != nil {
		t.Fatalf("starting the host: %v", err)
	}
	t.Cleanup(func() { _ = host.Process.Kill() })
	return host, out
}

func sendSignal(t *testing.T, host *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := host.Process.Signal(s); err != nil {
		t.Errorf("%v: %v", s, err)
	}
}

// sendHangups sends a host SIGHUPs until stop is called.
func sendHangups(t *testing.T, host *exec.Cmd) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var sends sync.WaitGroup
	sends.Go(func() {
		for range ticker.Every(ctx, hangUpInterval) {
			sendSignal(t, host, syscall.SIGHUP)
		}
	})
	return func() {
		cancel()
		sends.Wait()
	}
}

// waitForLine reads the host's log up to a line that contains text.
func waitForLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the host's output ended before %s", text)
}
