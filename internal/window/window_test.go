package window_test

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/window"
)

// stated is how long a load takes at full speed.
const stated = 4 * time.Second

// round has as many loads begin at once as may, on a store that serves so many at full speed, and returns how many they were.
func round(w window.Window, fast int) (now window.Window, loads int) {
	loads = w.Loads()
	now = w
	for range loads {
		now = now.WithLoad(stated*time.Duration(max(fast, loads))/time.Duration(fast), stated, loads)
	}
	return now, loads
}

// Growth by one for each host's own loads takes as many loads as the store serves at full speed, of each host.
func TestFastLoadsLetManyBeginSoon(t *testing.T) {
	var w window.Window
	for i, want := range []int{4, 8, 16, 32, 64, 64} {
		var got int
		if w, got = round(w, 1000); got != want {
			t.Errorf("round %d: %d loads at once, want %d", i, got, want)
		}
	}
}

// Too many loads at once are all ready when the last one could be. Were they tried again after each fast load, half of all loads would be slow.
func TestSlowLoadsAreSeldomTriedAgain(t *testing.T) {
	for _, fast := range []int{1, 2, 3, 5, 8} {
		var w window.Window
		slow, all, fewest := 0, 0, 1000
		for i := range 60 {
			now, loads := round(w, fast)
			w = now
			if i < 6 {
				continue // in which it learns
			}
			all += loads
			fewest = min(fewest, loads)
			if loads > fast {
				slow += loads
			}
			if most := fast + fast/2 + 1; loads > most {
				t.Errorf("%d served at full speed: %d at once, want %d at most", fast, loads, most)
			}
		}
		t.Logf("%d served at full speed: %d of %d loads beside too many", fast, slow, all)
		if fewest < max(1, fast/2) {
			t.Errorf("%d served at full speed: %d at once, want half as many as that at least", fast, fewest)
		}
		if fast == 1 && 4*slow > all {
			t.Errorf("%d of %d loads were beside others, want a quarter at most", slow, all)
		}
	}
}

// A load that was slow by itself would hold up others that are as fast beside each other as ever.
func TestLoadThatWasSlowAloneTeachesNothing(t *testing.T) {
	w := window.Window{Size: 9, Lesson: 2}
	if got := w.WithLoad(3*stated, stated, 1); got != w {
		t.Errorf("WithLoad() = %+v, want %+v", got, w)
	}
}

// Hosts that have heard the same lessons in different orders would let different numbers of loads begin.
func TestHostsAgreeOnTheNewest(t *testing.T) {
	all := []window.Window{
		{}, {Size: 3, Lesson: 1}, {Size: 9, Lesson: 2}, {Size: 6, Lesson: 2}, {Size: 4, Cut: true, Lesson: 2}, {Size: 3, Cut: true, Lesson: 2},
	}
	for i, a := range all {
		for _, b := range all[i:] {
			if got, want := a.Newer(b), b.Newer(a); got != want {
				t.Errorf("Newer() = %+v of %+v and %+v, want %+v as the other way", got, a, b, want)
			}
		}
	}
	newest := window.Window{}
	for _, w := range all {
		newest = newest.Newer(w)
	}
	if want := all[len(all)-1]; newest != want {
		t.Errorf("newest = %+v, want %+v: what slow loads taught, and the smallest of these", newest, want)
	}
}

// A host that has learned nothing would take bytes of every message to say so.
func TestNothingLearnedIsNotTold(t *testing.T) {
	data, err := msgpack.Marshal(struct {
		Learned window.Window `msgpack:"m,omitempty"`
	}{})
	if err != nil {
		t.Fatalf("Marshal() = %v, want nil", err)
	}
	if got, want := len(data), 1; got != want {
		t.Errorf("%d B, want %d", got, want)
	}
}
