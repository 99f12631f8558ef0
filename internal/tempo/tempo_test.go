package tempo_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/tempo"
)

const usualGap = 30 * time.Millisecond

var start = time.Unix(1000, 0)

// reportFromHosts adds the same report from six hosts.
func reportFromHosts(t *tempo.Tempo, event time.Duration, now time.Time) {
	for host := range 6 {
		t.AddReport(fmt.Sprint("h", host), event, 10, now)
	}
}

// A host without CPU time receives events late and in bursts. That must not change the engine's gap.
func TestSlowHostDoesNotChangeGap(t *testing.T) {
	var e tempo.Tempo
	reportFromHosts(&e, usualGap, start)
	e.AddReport("slow", 400*time.Millisecond, 32, start)
	e.AddReport("heaps", time.Millisecond, 20, start)
	if got := e.Gap(start); got != usualGap {
		t.Errorf("Gap = %v, want %v", got, usualGap)
	}
}

// An engine slows down sevenfold under load. The gap must follow within seconds and expire later, so that requests come back.
func TestGapFollowsSlowedEngine(t *testing.T) {
	var e tempo.Tempo
	reportFromHosts(&e, usualGap, start)
	e.Gap(start)
	reportFromHosts(&e, 7*usualGap, start.Add(time.Second))
	if got := e.Gap(start.Add(time.Second)); got != 7*usualGap {
		t.Errorf("Gap = %v, want %v", got, 7*usualGap)
	}
	if got := e.Gap(start.Add(20 * time.Second)); got != 7*usualGap {
		t.Errorf("Gap without new measurements = %v, want %v still", got, 7*usualGap)
	}
	if got := e.Gap(start.Add(40 * time.Second)); got != 0 {
		t.Errorf("Gap long after = %v, want none", got)
	}
}

// Every change is sent to all hosts, so small ones must be ignored.
func TestSmallChangesAreIgnored(t *testing.T) {
	var e tempo.Tempo
	reportFromHosts(&e, usualGap, start)
	e.Gap(start)
	reportFromHosts(&e, usualGap+time.Millisecond, start.Add(time.Second))
	if got := e.Gap(start.Add(time.Second)); got != usualGap {
		t.Errorf("Gap = %v, want %v", got, usualGap)
	}
}

// An engine restarts. The old measurements and a few new events must not count.
func TestResetEngineIsUnknownUntilMeasured(t *testing.T) {
	var e tempo.Tempo
	reportFromHosts(&e, 3*usualGap, start)
	e.Gap(start)
	e.Reset()
	e.AddReport("h", usualGap, 5, start.Add(time.Second))
	if got := e.Gap(start.Add(time.Second)); got != 0 {
		t.Errorf("Gap = %v, want none", got)
	}
	e.SetPrior(2*usualGap, start.Add(time.Second))
	if got := e.Gap(start.Add(time.Second)); got != 2*usualGap {
		t.Errorf("Gap = %v, want the prior value", got)
	}
}
