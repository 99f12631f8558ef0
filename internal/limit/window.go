package limit

import "time"

const (
	minute  = time.Minute
	buckets = 61 // one more than the seconds of a minute: the oldest is counted until all of it is a minute old
)

// window sums amounts over the last minute in buckets of a second.
type window struct {
	amount [buckets]float64
	second [buckets]int64 // that each bucket holds
}

// add counts an amount.
func (w *window) add(now time.Time, amount float64) {
	second := now.Unix()
	at := second % buckets
	if w.second[at] != second {
		w.second[at], w.amount[at] = second, 0
	}
	w.amount[at] += amount
}

// take takes one off what was counted at a time, if that is still in the window.
func (w *window) take(now, counted time.Time) {
	second := counted.Unix()
	at := second % buckets
	if w.second[at] == second && now.Unix()-second < buckets {
		w.amount[at] = max(0, w.amount[at]-1)
	}
}

// sum returns what the last minute holds.
func (w *window) sum(now time.Time) float64 {
	sum := 0.0
	for at, second := range w.second {
		if now.Unix()-second < buckets {
			sum += w.amount[at]
		}
	}
	return sum
}

// until returns how long it takes until an amount has left the window. Pending charges leave it last:
// they are counted when they are complete, so that the answer is never too early for them.
func (w *window) until(now time.Time, amount float64) time.Duration {
	for age := int64(buckets - 1); age >= 0; age-- {
		second := now.Unix() - age
		at := ((second % buckets) + buckets) % buckets
		if w.second[at] != second {
			continue
		}
		amount -= w.amount[at]
		if amount <= 0 {
			return time.Unix(second+buckets, 0).Sub(now)
		}
	}
	return minute
}
