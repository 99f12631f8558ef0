// Package fair shares the time of one engine among teams by start-time fair queueing.
//
// In order of arrival, a team that asks for twenty times its usual share of a busy engine would delay the others as much as
// itself. Here each team has a virtual time that advances by the cost of its prompts over its weight, and the team with the
// lowest one is served first. A team below its share never waits behind one above it, and unused shares go to the others.
package fair

import "time"

// Fair holds the virtual times of the teams at one engine. It is not safe for concurrent use.
type Fair struct {
	virtualTime time.Duration            // start of the last prompt served
	finish      map[string]time.Duration // finish of each team's last prompt, if after virtualTime
}

// Ahead returns how far a team's virtual time is ahead of the last team served; 0 if it stayed within its share.
func (f *Fair) Ahead(team string) time.Duration {
	return f.startTime(team) - f.virtualTime
}

// Charge adds the cost of a prompt to a team. Shares are proportional to weights; a weight of 0 or less counts as 1.
func (f *Fair) Charge(team string, cost time.Duration, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	start := f.startTime(team)
	f.virtualTime = start
	if f.finish == nil {
		f.finish = map[string]time.Duration{}
	}
	f.finish[team] = start + time.Duration(float64(cost)/weight)
	for other, clock := range f.finish {
		if clock <= f.virtualTime {
			delete(f.finish, other)
		}
	}
}

// startTime returns the virtual start of a team's next prompt. Idle teams accumulate no credit.
func (f *Fair) startTime(team string) time.Duration {
	return max(f.virtualTime, f.finish[team])
}
