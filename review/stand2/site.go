package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// memoryMB is the memory that the platform allows a process.
const memoryMB = 284

// site is a small deployment: hosts that run the product, between requesters and stand-ins for the platform.
type site struct {
	rec       *record
	dir       string // for settings and logs
	network   string // loopback network of the hosts
	reserved  net.Listener
	store     *store
	storeAddr string
	server    *http.Server
	runners   []*runner
	hosts     []*host
}

// newSite starts the stand-ins and the hosts. Model runners take turns with the builds of their software.
func newSite(rec *record, hosts, engines, plain int, builds ...string) (*site, error) {
	if len(builds) == 0 {
		builds = []string{"v1"}
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: newStore()}
	if s.reserved, s.network, err = reserve(hosts); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	s.server = &http.Server{Handler: s.store}
	go s.server.Serve(l)
	s.configure()
	for n := range engines + plain {
		r, err := newRunner(s, n, n < engines, builds[n%len(builds)])
		if err != nil {
			return nil, err
		}
		s.runners = append(s.runners, r)
	}
	for n := range hosts {
		h := newHost(s, n+1, dir)
		s.hosts = append(s.hosts, h)
		if err := h.fill(); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// reserve returns a loopback network on whose addresses nothing listens yet, and what keeps other cases off it.
func reserve(hosts int) (net.Listener, string, error) {
	for n := range 100 * 200 {
		network := fmt.Sprintf("127.%d.%d", 60+n/200, n%200)
		l, err := net.Listen("tcp", network+".254:7999")
		if err != nil {
			continue
		}
		if unused(network, hosts) {
			return l, network, nil
		}
		l.Close()
	}
	return nil, "", fmt.Errorf("no loopback network is free")
}

func unused(network string, hosts int) bool {
	for n := range hosts {
		for _, port := range []int{8141, 8143, 8149, 7380, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, n+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// configure writes the configuration.
func (s *site) configure() {
	route := func(name, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": routeHost, "prefix": "/" + name + "/", "type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": service, "max_attempts": attempts,
		}
		if kind == "streaming" {
			r["sticky"], r["resumable"], r["target_gap_ms"] = true, resumable, 300
		}
		return r
	}
	s.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			route(draft, "streaming", engineService, 15000, 1000, 1, 2, true),
			route(check, "streaming", engineService, 30000, 1000, 1, 1, false),
			route(book, "non_idempotent", plainService, 1000, 150, 2, 1, false),
			route(ticket, "idempotent", plainService, 1000, 150, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": engineService, "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{
				"slots": slots, "kv_capacity": 132765, "weights_mb": 66600, "adapter_slots": adapterSlots, "loads_per_s": 2.8,
				"models": []any{map[string]any{
					"name": model, "weights_mb": 65100, "load_time_s": 5.3, "adapters": 3000, "adapter_size_mb": 12, "warm_s": 1.1, "disk_load_s": 2.1,
				}},
			}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 96},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// awaitReady waits until all hosts say that they are ready, as the platform asks them.
func (s *site) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	for _, h := range s.hosts {
		for !ready(client, h) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready within %v", h.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func ready(client *http.Client, h *host) bool {
	resp, err := client.Get("http://" + h.fields["listen.readiness"] + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all that was started.
func (s *site) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	for _, r := range s.runners {
		r.stop()
	}
	s.server.Close()
	s.reserved.Close()
	os.RemoveAll(s.dir)
}
