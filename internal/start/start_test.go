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

	"damaskreach/internal/turns"
	"damaskreach/platform"
)

// hangUpEvery is the pause between two signals to read the settings.
const hangUpEvery = 20 * time.Millisecond

// asHost has the test program run as a host.
const asHost = "DAMASKREACH_TEST_HOST"

// settings are those of a host whose store is not there.
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
	if path := os.Getenv(asHost); path != "" {
		os.Exit(platform.Run([]string{"--config", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A host is told to read its settings anew while it stops: killed by that signal, it leaves the requests under way without an answer.
func TestHostThatStopsOutlivesAHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	host, out := run(t, path)
	lines := bufio.NewScanner(out)
	await(t, lines, `"started"`)
	signal(t, host, syscall.SIGTERM)
	await(t, lines, `"leaving"`)
	stop := hangUp(t, host)
	await(t, lines, `"stopped"`)
	stop()
	if err := host.Wait(); err != nil {
		t.Errorf("the host ended with %v, want success", err)
	}
}

// A host is told to read its settings anew while it reads them for the first time: killed by that signal, it has to be started once more, and its
// callers are without it meanwhile.
func TestHostThatStartsOutlivesAHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatalf("making a pipe: %v", err)
	}
	host, out := run(t, path)
	reads, err := os.OpenFile(path, os.O_WRONLY, 0) // opens once the host reads
	if err != nil {
		t.Fatalf("opening the settings: %v", err)
	}
	signal(t, host, syscall.SIGHUP)
	if _, err := reads.WriteString(settings); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	reads.Close()
	lines := bufio.NewScanner(out)
	await(t, lines, `"started"`)
}

// Whoever reads a host's lines ends. Ended by its next line, the host would leave all requests under way without an answer.
func TestHostOutlivesTheReaderOfItsLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatalf("writing the settings: %v", err)
	}
	host, out := run(t, path)
	await(t, bufio.NewScanner(out), `"started"`)
	if err := out.Close(); err != nil {
		t.Fatalf("closing the output: %v", err)
	}
	signal(t, host, syscall.SIGTERM)
	if err := host.Wait(); err != nil {
		t.Errorf("the host ended with %v, want success", err)
	}
}

// run starts a host, which ends with the test.
func run(t *testing.T, path string) (host *exec.Cmd, out io.ReadCloser) {
	t.Helper()
	host = exec.Command(os.Args[0])
	host.Env = append(os.Environ(), asHost+"="+path)
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

func signal(t *testing.T, host *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := host.Process.Signal(s); err != nil {
		t.Errorf("%v: %v", s, err)
	}
}

// hangUp tells a host to read its settings anew again and again, until stop is called.
func hangUp(t *testing.T, host *exec.Cmd) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var sends sync.WaitGroup
	sends.Go(func() {
		for range turns.Every(ctx, hangUpEvery) {
			signal(t, host, syscall.SIGHUP)
		}
	})
	return func() {
		cancel()
		sends.Wait()
	}
}

// await reads the host's lines up to one with a text.
func await(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the host's output ended before %s", text)
}
