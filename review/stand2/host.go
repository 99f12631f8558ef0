package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the platform's pause before it starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// template is the file from which the platform makes a host's settings, program the one that the deploy file builds.
	template = "deploy/node.toml"
	program  = "target/damaskedge"
)

// running holds the hosts' processes, by id.
var running sync.Map

// killAll ends the processes of all hosts.
func killAll() {
	running.Range(func(_, p any) bool {
		_ = p.(*os.Process).Kill() // one that has just ended needs none
		return true
	})
}

// host is a machine that runs the product's process.
type host struct {
	name, ip string
	dir      string
	rec      *record
	fields   map[string]string // of the platform, by the names in the template

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when cmd has ended
	stopped bool          // it is not to be started again
	started time.Time     // when cmd was started
}

func newHost(s *site, number int, dir string) *host {
	h := &host{name: fmt.Sprintf("edge-%d", number), ip: fmt.Sprintf("%s.%d", s.network, number), dir: dir, rec: s.rec}
	h.fields = map[string]string{
		"node_name": h.name, "ip": h.ip, "zone": "hall-marcus", "listen.frontend": h.ip + ":8149", "listen.readiness": h.ip + ":8141",
		"listen.directory": h.ip + ":8143", "internal_ports.0": "7380", "platform.address": s.storeAddr, "limits.cpu_share": "0.4",
		"limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": "4100", "heartbeat_ms": "1200", "bounds.drain_ms": "2000",
		"bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.version_ms": "5000", "bounds.ttl_max_s": "5",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_extra": "52", "bounds.budget_window_s": "10",
		"bounds.ceiling_window_s": "5",
	}
	return h
}

// callers is the address for requesters.
func (h *host) callers() string { return h.fields["listen.frontend"] }

func (h *host) settings() string { return filepath.Join(h.dir, h.name+".toml") }

// fill writes the settings file.
func (h *host) fill() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	filled := string(text)
	for name, value := range h.fields {
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
	}
	return os.WriteFile(h.settings(), []byte(filled), 0o600)
}

// start starts the process, and again whenever it ends, as the platform does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "DAMASKREACH_BOOT=" + h.settings()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	running.Store(cmd.Process.Pid, cmd.Process)
	h.rec.say("%s starts at %s", h.name, h.ip)
	ended := make(chan struct{})
	h.cmd, h.ended, h.started = cmd, ended, time.Now()
	go h.await(cmd, ended)
	return nil
}

// await waits for the end of a process and starts the next one.
func (h *host) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	running.Delete(cmd.Process.Pid)
	h.rec.say("%s ended: %v", h.name, err)
	close(ended)
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.rec.tell("%s is not started again: %v", h.name, err)
	}
}

// process returns the current process; nil if there is none.
func (h *host) process() *os.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	return h.cmd.Process
}

// signal sends the process a signal. One that has just ended needs none.
func (h *host) signal(sig syscall.Signal) {
	if p := h.process(); p != nil {
		_ = p.Signal(sig)
	}
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	ended := h.ended
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// inTouch reports whether the process has run without disturbance for long enough.
func (h *host) inTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return at.Sub(h.started) >= contact
}

// memory returns how many MB of its own the process holds in memory; 0 if that is not known.
func (h *host) memory() int {
	p := h.process()
	if p == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
