// Package plain is a stand-in for a plain service, such as one that books halls.
package plain

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/uptime"
)

const (
	bodyLimit  = 8 << 20 // bytes of a request's body
	statusName = "status"
	// RecordPath answers with the service's own records; nothing is executed by it.
	RecordPath     = "/records"
	defaultRestart = 5 * time.Second
)

// Service executes every request that reaches it, also one that it has executed before.
// Its exported field is a setting, to be changed before it serves.
type Service struct {
	Restart time.Duration // from a crash until requests are accepted again

	power  *uptime.Uptime
	mu     sync.Mutex
	before int
	after  int
	delay  time.Duration // from the execution of a request to its answer
	cuts   int
	log    []recrd.Record
}

// NewService returns a service that answers at once.
func NewService() *Service {
	return &Service{Restart: defaultRestart, power: uptime.NewUptime()}
}

type confirmation struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Type   string `json:"type"`
	Body   string `json:"body"`
	Sum    string `json:"sum"`
}

// Answer returns the body with which every service answers a request of method to path, which has its query.
func Answer(method, path, kind string, body []byte) []byte {
	sum := sha256.Sum256(body)
	answer, err := json.Marshal(confirmation{Method: method, Path: path, Type: kind, Body: string(body), Sum: hex.EncodeToString(sum[:])})
	if err != nil {
		panic(err) // strings always marshal
	}
	return answer
}

// Run serves on the listeners that listen returns until ctx ends.
func (s *Service) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	return s.power.Run(ctx, listen, s)
}

// ServeHTTP executes a request and answers with what it asked, under the status that its query names.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.power.Up() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == RecordPath {
		recrd.Serve(w, s.Records())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.crashIf(&s.before)
	boot, at := s.execute(r)
	s.crashIf(&s.after)
	if !uptime.Pause(boot, s.pause()) {
		s.finish(at, recrd.Cut)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, body, at)
}

// crashIf crashes the service where a crash at this point is due.
func (s *Service) crashIf(due *int) {
	if s.take(due) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
}

// take uses up one of the faults counted by due.
func (s *Service) take(due *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *due == 0 {
		return false
	}
	*due--
	return true
}

// execute records the request as executed and returns the boot that did so, and the index of its record.
func (s *Service) execute(r *http.Request) (context.Context, int) {
	fence, _ := strconv.ParseInt(r.Header.Get(engine.HeaderFence), 10, 64)
	ctx, boot := s.power.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, recrd.Record{
		Request: r.Header.Get(engine.HeaderRequest),
		Attempt: r.Header.Get(engine.HeaderAttempt),
		Key:     r.Header.Get(engine.HeaderKey),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Boot:    boot,
		Fence:   fence,
		Started: time.Now(),
	})
	return ctx, len(s.log) - 1
}

// answer sends the answer, or half of it where a cut is due.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte, at int) {
	kind := r.Header.Get("Content-Type")
	content := Answer(r.Method, r.URL.RequestURI(), kind, body)
	status, err := strconv.Atoi(r.URL.Query().Get(statusName))
	if err != nil {
		status = http.StatusOK
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	w.WriteHeader(status)
	if s.take(&s.cuts) {
		w.Write(content[:len(content)/2])
		http.NewResponseController(w).Flush()
		s.finish(at, recrd.Cut)
		panic(http.ErrAbortHandler)
	}
	w.Write(content)
	if http.NewResponseController(w).Flush() != nil {
		s.finish(at, recrd.Cancelled)
		return
	}
	s.finish(at, recrd.Whole)
}

func (s *Service) finish(at int, end string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log[at] = s.log[at].WithEnd(end, time.Now())
}

// Records returns the service's own account of the requests it executed, oldest first.
func (s *Service) Records() []recrd.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}
