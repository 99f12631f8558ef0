package plain

// Crash cuts every connection and refuses new ones for Restart.
func (s *Service) Crash() {
	s.power.Crash(s.Restart)
}

// CrashBefore makes the next n requests crash the service before they are executed.
func (s *Service) CrashBefore(n int) {
	s.set(&s.before, n)
}

// CrashAfter makes the next n requests crash the service after they were executed.
func (s *Service) CrashAfter(n int) {
	s.set(&s.after, n)
}

// CutAnswers makes the next n answers break off half way.
func (s *Service) CutAnswers(n int) {
	s.set(&s.cuts, n)
}

func (s *Service) set(due *int, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*due = n
}
