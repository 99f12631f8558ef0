// Package watch follows the platform's host list, which lags and is sometimes wrong.
package watch

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/host"
	"damaskreach/internal/hosts"
	"damaskreach/internal/ticker"
)

const (
	every   = 2 * time.Second
	timeout = 2 * time.Second
)

// Watch keeps the newest host list. When the list cannot be read the last one stays.
type Watch struct {
	hosts hosts.Hosts
	log   *zap.Logger

	mu    sync.Mutex
	state map[string]string // by IP
	left  map[string]bool   // IPs seen leaving, until they are seen live
}

// NewWatch returns a watch of a host list.
func NewWatch(h hosts.Hosts, log *zap.Logger) *Watch {
	return &Watch{hosts: h, log: log, state: map[string]string{}, left: map[string]bool{}}
}

// Run reads the list until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, every, nil) {
		w.read(ctx)
	}
}

func (w *Watch) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := w.hosts.List(ctx)
	if err != nil {
		w.log.Warn("reading the host list failed", zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = make(map[string]string, len(list))
	for _, h := range list {
		w.take(h)
	}
}

func (w *Watch) take(h host.Host) {
	w.state[h.Addr] = h.State
	switch h.State {
	case host.Leaving:
		w.left[h.Addr] = true
	case host.Live:
		delete(w.left, h.Addr)
	}
}

// Gone reports whether the list says that the host of an address has been taken away.
func (w *Watch) Gone(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state[ip(addr)] == host.Gone
}

// Leaving reports whether the list has said that the host of an address is leaving and not called it live since.
// A host that is called gone without having left is not counted: the list may be wrong, and an engine that still
// answers is better judged by its answers.
func (w *Watch) Leaving(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left[ip(addr)]
}

func ip(addr string) string {
	name, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return name
}
