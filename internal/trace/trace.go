// Package trace generates the workloads that policies are measured on.
//
// A trace is a list of requests and faults with the times they happen at; equal seeds give equal traces.
// Rates are set so that the baseline policy is close to what the weight store can load, but not beyond it,
// outside of the faults.
package trace

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/runner"
)

// Trace is one site's workload.
type Trace struct {
	Site     string
	Span     time.Duration
	Runners  []runner.Runner
	Arrivals []arrival // by time
	Faults   []fault   // by time
}

// arrival is one request of a caller.
type arrival struct {
	At     time.Duration // since the start
	Call   call.Call     // without Deadline and Attempt
	Within time.Duration // of At in which the answer has to be complete; zero means no deadline
	Tokens int           // that the answer will have, which no policy is told
	Rush   bool          // of the tenant that asks for too much at some time
	Prompt time.Duration // prefill without a cached prefix
}

// Kinds of faults.
const (
	Restart = "restart" // engine Runner loses everything and is back, empty, after Lasts
	Slow    = "slow"    // the store runs at a Share of its speed
	Failing = "failing" // a Share of the loads fails
)

// fault is something that goes wrong for a time.
type fault struct {
	At     time.Duration
	Lasts  time.Duration
	Kind   string
	Runner string
	Share  float64
}
