package jitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/jitter"
)

const expected = 80 * time.Millisecond

// meanRoom returns the mean room after many readings, a share of which took 2.5 times as long as expected, the rest about as
// long.
func meanRoom(share float64) float64 {
	s := jitter.NewJitter()
	r := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	const readings, counted = 900, 400
	for i := range readings {
		took := time.Duration((0.9 + 0.2*r.Float64()) * float64(expected))
		if r.Float64() < share {
			took = 5 * expected / 2
		}
		s.AddSample(took, expected)
		if i >= readings-counted {
			sum += s.Room()
		}
	}
	return sum / counted
}

// Engines that slow down at times must get less than the whole stall, steady engines nearly all of it.
func TestRoomShrinksWithShareOfSlowReadings(t *testing.T) {
	if got := meanRoom(0.15); got > 0.55 {
		t.Errorf("room where one reading in seven is slow = %.2f, want 0.55 at most", got)
	}
	if got := meanRoom(0); got < 0.99 {
		t.Errorf("room where no reading is slow = %.2f, want all of it", got)
	}
	if got := meanRoom(0.005); got < 0.85 {
		t.Errorf("room where one reading in two hundred is slow = %.2f, want nearly all of it", got)
	}
}
