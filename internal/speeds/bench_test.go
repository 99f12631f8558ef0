package speeds_test

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkMeasured measures the cost of a message about 32 engines, a quarter of which have sent events since the last one.
func BenchmarkMeasured(b *testing.B) {
	const engines, parts, events, pause = 32, 4, 8, 200 * time.Millisecond
	s := newFleet()
	at := now
	for i := range b.N {
		at = at.Add(pause)
		for n := range engines {
			id := strconv.Itoa(n)
			for e := range events {
				if n%parts == i%parts {
					s.AddGap(id, event+time.Duration(e*5%8)*time.Millisecond, at)
				}
			}
			s.Measured(id, at)
		}
	}
}
