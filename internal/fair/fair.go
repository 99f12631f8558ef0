// Package fair shares the time of one engine among teams: start-time fair queueing.
//
// Where more is asked for than an engine can read, whoever asks most gets most by order of arrival, and a team that asks for twenty times its
// usual share costs the others as much as itself. Each team has a clock that goes on by what it was given over its weight; the team whose
// clock is behind goes first. A team that asks for less than its share therefore never waits behind one that asks for more, and what it
// leaves goes to the others at once.
package fair

import "time"

// Fair is used from one goroutine at a time.
type Fair struct {
	now   time.Duration            // clock of the team that was given time last
	clock map[string]time.Duration // of teams that are ahead of it
}

// Ahead returns how far a team is ahead of the one that was given time last; 0 where it had no more than its share of late.
func (f *Fair) Ahead(team string) time.Duration {
	return f.start(team) - f.now
}

// Give notes that a team is given some time. Weights say how much teams are entitled to beside each other; one without counts as one.
func (f *Fair) Give(team string, cost time.Duration, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	start := f.start(team)
	f.now = start
	if f.clock == nil {
		f.clock = map[string]time.Duration{}
	}
	f.clock[team] = start + time.Duration(float64(cost)/weight)
	for other, clock := range f.clock {
		if clock <= f.now {
			delete(f.clock, other)
		}
	}
}

// start returns when a team is given time next. One that has asked for nothing has not saved up for it.
func (f *Fair) start(team string) time.Duration {
	return max(f.now, f.clock[team])
}
