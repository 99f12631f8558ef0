// Package suspct holds back requests that were running when their upstream crashed.
//
// Now and then one request crashes each upstream that runs it, and its caller, or this program, sends it again. Without
// this package it would take down one upstream after another, and every request beside it each time. A request becomes a
// suspect when the connection to its upstream breaks while it runs. A suspect runs alone; a whole answer clears it, and a
// second crash has it refused for as long as its record lives. Requests that merely ran beside the cause become suspects
// too, are served alone, and are cleared by their answers.
package suspct

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/call"
	"damaskreach/internal/peer"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	mostCrashes = 2 // a request with so many is refused
	mostRecords = 8192
)

// Suspect is a node's record of suspects and its gate before each runner it owns.
// The fields are set before Register and not changed afterwards.
type Suspect struct {
	Mesh  *peer.Mesh
	Table table.Table
	Life  time.Duration // of a record, from its last crash
	Poll  time.Duration // interval of readings of other nodes' records
	Log   *zap.Logger
	// Ctx ends with the node and all work left over from requests.
	Ctx context.Context
	// Write writes one row, gathered with others.
	Write func(ctx context.Context, row rows.Row) (int64, error)
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Home returns the node that a key hashes to and whether it is this one.
	Home func(ctx context.Context, key string) (sess.Session, bool, error)

	mu     sync.Mutex
	known  map[string]record // by row key
	closed map[string]int64  // rows to be deleted, by key, with their revisions
	gates  map[string]*gate  // by runner
	rev    int64             // of the last reading
}

// Register takes the records that other nodes pass on.
func (s *Suspect) Register() {
	s.known = map[string]record{}
	s.closed = map[string]int64{}
	s.gates = map[string]*gate{}
	peer.Answer(s.Mesh, methodSuspect, func(_ context.Context, _ string, q news) (newsSaid, error) {
		s.hear(q)
		return newsSaid{}, nil
	})
}

// key names a call's record: by its idempotency key, else by its fingerprint.
func key(c call.Call) string {
	if c.Key == "" {
		return table.PrefixSuspect + c.Fingerprint()
	}
	sum := sha256.Sum256([]byte(c.Tenant + "\x00" + c.Key))
	return table.PrefixSuspect + "key-" + hex.EncodeToString(sum[:16])
}

// Alone reports whether a call is a suspect and has to run alone.
func (s *Suspect) Alone(c call.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.find(key(c)).Crashes) > 0
}

// Refusal returns why a call may not be tried again, or nil where it may.
func (s *Suspect) Refusal(c call.Call) *refuse.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(key(c))
	if len(r.Crashes) < mostCrashes {
		return nil
	}
	text := "the connection to its upstream broke while it ran, at %s and at %s; it is not tried on a third"
	return refuse.NewRefusal(verd.NotRun, refuse.Suspect, text, r.Crashes[0].Runner, r.Crashes[1].Runner).WithRetry(time.Until(r.until).Round(time.Second))
}

// Waiting returns how many suspects run on a runner or wait for it here.
func (s *Suspect) Waiting(runner string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[runner]
	if g == nil {
		return 0
	}
	return g.suspects()
}
