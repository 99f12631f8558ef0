package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a host, the same on all hosts.
const (
	callerPort = 8149
	readyPort  = 8141
	lookupPort = 8143
	peerPort   = 7380
	meterPort  = 9464
)

const (
	// beatInterval is the runners' heartbeat_ms, and silentBeats the intervals of silence after which an entry is removed.
	beatInterval = 1200 * time.Millisecond
	silentBeats  = 3
	// startWait bounds the start of the hosts.
	startWait = 20 * time.Second
	// graceTime is grace_s, and restartDelay the pause before a process that has ended is started again.
	graceTime, restartDelay = 8 * time.Second, 500 * time.Millisecond
)

// zones are those of the sheet, one host in each.
var zones = []string{"hall-marcus", "hall-spanish", "hall-harbour"}

// site is the project's program on three hosts, between a store, runners and callers.
type site struct {
	rec   *record
	dir   string // temporary
	store *store
	hosts []*host

	asked, served atomic.Int64 // requests of all callers, and those answered 200
}

// checkServed returns an error if the hosts served so little that the case says nothing.
func (s *site) checkServed() error {
	asked, served := s.asked.Load(), s.served.Load()
	s.rec.verdict("%d requests, %d answered 200", asked, served)
	if served*4 < asked || served == 0 {
		return errors.New("the hosts served less than a quarter of the requests")
	}
	return nil
}

// host is one process of the program.
type host struct {
	ip, zone string
	settings string // file
	words    []string
	cmd      *exec.Cmd
	log      *os.File

	mu        sync.Mutex
	startedAt time.Time
	leavingAt time.Time // zero while it is not being stopped
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// newSite starts the store; start starts the hosts.
func newSite(rec *record, dir string) (*site, string, error) {
	s := &site{rec: rec, dir: dir, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with this process
	return s, l.Addr().String(), nil
}

// start starts the hosts with the command and the settings template of the deploy file, and waits until all are ready.
func (s *site) start(storeAddr string) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	if run == nil {
		return errors.New("deploy/system.toml has no run line")
	}
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return err
	}
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	for i, zone := range zones {
		h := &host{ip: fmt.Sprintf("%s.%d", network, i+1), zone: zone}
		s.hosts = append(s.hosts, h)
		if err := h.start(s.dir, string(template), string(run[1]), storeAddr); err != nil {
			return err
		}
		s.rec.line("host %s in %s started as process %d", h.ip, zone, h.cmd.Process.Pid)
	}
	return s.awaitReady()
}

// freeNetwork returns three bytes of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network is free")
}

func isFree(network string) bool {
	for i := range zones {
		for _, port := range []int{callerPort, readyPort, lookupPort, peerPort, meterPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// start fills in the settings as the platform does and starts the process.
func (h *host) start(dir, template, command, storeAddr string) error {
	values := map[string]string{
		"node_name": "edge-" + h.zone + "-1", "ip": h.ip, "zone": h.zone, "listen.frontend": h.addr(callerPort),
		"listen.readiness": h.addr(readyPort), "listen.directory": h.addr(lookupPort), "internal_ports.0": fmt.Sprint(peerPort),
		"platform.address": storeAddr, "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"heartbeat_ms": fmt.Sprint(beatInterval.Milliseconds()), "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.lease_ms": "3000",
		"bounds.version_ms": "5000", "bounds.ttl_max_s": "5", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_extra": "52",
		"bounds.budget_window_s": "10", "bounds.ceiling_window_s": "5",
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	if at := strings.Index(template, "{{"); at >= 0 {
		return fmt.Errorf("a placeholder of deploy/node.toml is not filled in: %.40s", template[at:])
	}
	path := filepath.Join(dir, h.zone+".toml")
	if err := os.WriteFile(path, []byte(template), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, h.zone+".log"))
	if err != nil {
		return err
	}
	h.log, h.settings, h.words = log, path, strings.Fields(command)
	return h.launch()
}

// launch starts the process. It must be called by the goroutine of main, on whose thread the process depends.
func (h *host) launch() error {
	h.cmd = exec.Command(h.words[0], h.words[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKREACH_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	// The process must not outlive this one, whatever ends this one.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedAt, h.leavingAt = time.Now(), time.Time{}
	return h.cmd.Start()
}

// restart stops the process as the platform does and starts it again after a short delay.
func (h *host) restart(rec *record) error {
	rec.line("SIGTERM to host %s", h.ip)
	h.mu.Lock()
	h.leavingAt = time.Now()
	h.mu.Unlock()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	kill := time.AfterFunc(graceTime, func() { _ = h.cmd.Process.Kill() })
	err := h.cmd.Wait()
	kill.Stop()
	rec.line("host %s has ended: %v", h.ip, err)
	time.Sleep(restartDelay)
	rec.line("host %s starts again", h.ip)
	return h.launch()
}

// inTouch reports whether the process has run undisturbed for contact.
func (h *host) inTouch(now time.Time, contact time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.startedAt) > contact && h.leavingAt.IsZero()
}

func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(startWait); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range s.hosts {
			r, err := client.Get("http://" + h.addr(readyPort) + "/-/readyz")
			if err != nil {
				break
			}
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.hosts) {
			s.rec.line("all hosts are ready")
			return nil
		}
	}
	return errors.New("the hosts are not ready")
}

// close ends the processes that start started.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.log.Close()
	}
}
