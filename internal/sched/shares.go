package sched

// shares counts the work started for each tenant by its weight (start-time fair queueing).
type shares struct {
	weights map[string]int
	work    map[string]float64
	floor   float64 // work of the tenant served last: idle tenants save up no more than this
}

func newShares() *shares {
	return &shares{weights: map[string]int{}, work: map[string]float64{}}
}

func (s *shares) setWeight(tenant string, weight int) {
	s.weights[tenant] = max(1, weight)
}

// used returns the tenant's weighted work.
func (s *shares) used(tenant string) float64 {
	return max(s.floor, s.work[tenant])
}

// start counts a started request of a tenant.
func (s *shares) start(tenant string, tokens int) {
	before := s.used(tenant)
	s.floor = before
	s.work[tenant] = before + float64(max(1, tokens))/float64(max(1, s.weights[tenant]))
	if len(s.work) > maxRecords {
		s.trim()
	}
}

// trim drops tenants whose work is not above the floor; they lose nothing.
func (s *shares) trim() {
	for tenant, work := range s.work {
		if work <= s.floor {
			delete(s.work, tenant)
		}
	}
}
