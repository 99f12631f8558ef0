package tempo_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/tempo"
)

const plain = 30 * time.Millisecond

var start = time.Unix(1000, 0)

// told has six hosts tell the same.
func told(t *tempo.Tempo, event time.Duration, now time.Time) {
	for host := range 6 {
		t.Take(fmt.Sprint("h", host), event, 10, now)
	}
}

// One host has no processor left and sees its events late and in heaps. The engine must not count as slow, or as fast, for that.
func TestSlowHostDoesNotChangeTheEnginesSpeed(t *testing.T) {
	var e tempo.Tempo
	told(&e, plain, start)
	e.Take("slow", 400*time.Millisecond, 32, start)
	e.Take("heaps", time.Millisecond, 20, start)
	if got := e.Event(start); got != plain {
		t.Errorf("Event = %v, want %v", got, plain)
	}
}

// An engine turns seven times slower under load. Requests must go elsewhere within seconds, and come back once it has recovered.
func TestEngineThatTurnsSlowIsFollowed(t *testing.T) {
	var e tempo.Tempo
	told(&e, plain, start)
	e.Event(start)
	told(&e, 7*plain, start.Add(time.Second))
	if got := e.Event(start.Add(time.Second)); got != 7*plain {
		t.Errorf("Event = %v, want %v", got, 7*plain)
	}
	if got := e.Event(start.Add(20 * time.Second)); got != 7*plain {
		t.Errorf("Event without new measurements = %v, want %v still", got, 7*plain)
	}
	if got := e.Event(start.Add(40 * time.Second)); got != 0 {
		t.Errorf("Event long after = %v, want none", got)
	}
}

// Every change is told to all hosts. Small ones are not.
func TestSmallChangesAreNotTold(t *testing.T) {
	var e tempo.Tempo
	told(&e, plain, start)
	e.Event(start)
	told(&e, plain+time.Millisecond, start.Add(time.Second))
	if got := e.Event(start.Add(time.Second)); got != plain {
		t.Errorf("Event = %v, want %v", got, plain)
	}
}

// An engine begins anew. What its predecessor was like says nothing of it; a few events do not either.
func TestNewEngineIsUnknownUntilItWasMeasured(t *testing.T) {
	var e tempo.Tempo
	told(&e, 3*plain, start)
	e.Event(start)
	e.Reset()
	e.Take("h", plain, 5, start.Add(time.Second))
	if got := e.Event(start.Add(time.Second)); got != 0 {
		t.Errorf("Event = %v, want none", got)
	}
	e.Begin(2*plain, start.Add(time.Second))
	if got := e.Event(start.Add(time.Second)); got != 2*plain {
		t.Errorf("Event = %v, want what was found before", got)
	}
}
