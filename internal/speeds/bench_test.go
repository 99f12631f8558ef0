package speeds_test

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkMeasured measures what a message to other hosts costs that tells of 32 engines, of which a quarter has sent events since the last one.
func BenchmarkMeasured(b *testing.B) {
	const engines, parts, events, pause = 32, 4, 8, 200 * time.Millisecond
	s := fleet()
	at := now
	for i := range b.N {
		at = at.Add(pause)
		for n := range engines {
			id := strconv.Itoa(n)
			for e := range events {
				if n%parts == i%parts {
					s.Event(id, event+time.Duration(e*5%8)*time.Millisecond, at)
				}
			}
			s.Measured(id, at)
		}
	}
}
