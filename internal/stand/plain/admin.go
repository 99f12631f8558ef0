package plain

import (
	"net/http"
	"time"

	"damaskreach/internal/stand/admin"
)

// Admin adds the faults of the service to mux, for tests in another process. It must not be a mux of the service itself.
//
//	POST /admin/crash                 Crash
//	POST /admin/crash-before?count=N  CrashBefore
//	POST /admin/crash-after?count=N   CrashAfter
//	POST /admin/cut?count=N           CutAnswers
//	POST /admin/slow?by=DURATION      Slow
func (s *Service) Admin(mux *http.ServeMux) {
	admin.Handle(mux, "crash", func(*admin.Query) func() { return s.Crash })
	counted := map[string]func(n int){"crash-before": s.CrashBefore, "crash-after": s.CrashAfter, "cut": s.CutAnswers}
	for name, apply := range counted {
		admin.Handle(mux, name, func(q *admin.Query) func() {
			count := q.Int("count")
			return func() { apply(count) }
		})
	}
	admin.Handle(mux, "slow", func(q *admin.Query) func() {
		by := q.Duration("by")
		return func() { s.Slow(by) }
	})
}

// Slow sets the time from the execution of each following request to its answer.
func (s *Service) Slow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = by
}

func (s *Service) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}
