package bulk_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/bulk"
)

const (
	large  = 205 * time.Millisecond // to read one of 7,400 tokens at the rate of the users' sheets
	engine = 18
)

func TestNoEngineIsKeptWhereNoPromptIsLarge(t *testing.T) {
	var b bulk.Bulk
	if got := b.Engines(engine, time.Now()); got != 0 {
		t.Errorf("Engines = %d, want 0", got)
	}
}

// Large prompts come now and then, come often, and stop coming. Engines that are kept for them and get none would be lost to all
// others; too few of them would make large prompts wait for each other.
func TestEnginesFollowTheWork(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		all, want int
	}{
		{0.1, engine, 1}, {1, engine, 1}, {3, engine, 2}, {20, engine, 4}, {20, 5, 0}, {20, 120, 11},
	} {
		var b bulk.Bulk
		now := time.Unix(0, 0)
		for end := now.Add(2 * time.Minute); now.Before(end); {
			now = now.Add(time.Duration(float64(time.Second) / c.perSecond))
			b.Note(large, now)
		}
		if got := b.Engines(c.all, now); got != c.want {
			t.Errorf("%v a second, %d engines: Engines = %d, want %d", c.perSecond, c.all, got, c.want)
		}
		if got := b.Engines(c.all, now.Add(10*time.Minute)); got != 0 {
			t.Errorf("%v a second, %d engines, ten minutes later: Engines = %d, want 0", c.perSecond, c.all, got)
		}
	}
}

// Eight hosts get a share of the large prompts each, some more and some fewer at a moment. One that kept fewer engines than the
// others would send streams to where the others send large prompts.
func TestHostsKeepTheSameEngines(t *testing.T) {
	const hosts, perSecond = 8, 3.0
	r := rand.New(rand.NewPCG(1, 1))
	list := make([]*bulk.Bulk, hosts)
	for i := range list {
		list[i] = &bulk.Bulk{}
	}
	now := time.Unix(0, 0)
	differ, moments := 0, 0
	for end := now.Add(2 * time.Minute); now.Before(end); {
		now = now.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		list[r.IntN(hosts)].Note(large, now)
		for i, b := range list {
			for j, other := range list {
				if i != j {
					other.Hear(string(rune('a'+i)), b.Rate(now), now)
				}
			}
		}
		first := list[0].Engines(engine, now)
		for _, b := range list {
			moments++
			if b.Engines(engine, now) != first {
				differ++
			}
		}
	}
	if differ > moments/100 {
		t.Errorf("hosts kept other engines than the first one at %d of %d moments, want at most one in a hundred", differ, moments)
	}
}

// stream is one answer under way at an engine.
type stream struct {
	begun, end time.Time
	engine     int
}

// paused plays two minutes of the users' sheets (70 streams a second of 1.7 s on 18 engines, of which one in thirty has a prompt
// that holds streams up by itself) and returns how many streams paused for too long. Place returns the engine of a request.
func paused(seed uint64, place func(r *rand.Rand, heavy bool, load []int) int) int {
	const perSecond, share = 70.0, 1.0 / 30
	r := rand.New(rand.NewPCG(seed, 8))
	var streams []stream
	type read struct {
		from   time.Time
		engine int
	}
	var reads []read
	now := time.Unix(0, 0)
	for end := now.Add(2 * time.Minute); now.Before(end); {
		now = now.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		load := make([]int, engine)
		for _, s := range streams[max(0, len(streams)-600):] {
			if s.end.After(now) {
				load[s.engine]++
			}
		}
		heavy := r.Float64() < share
		at := place(r, heavy, load)
		if heavy {
			reads = append(reads, read{now, at})
		}
		streams = append(streams, stream{now, now.Add(time.Duration(r.ExpFloat64() * 1.7 * float64(time.Second))), at})
	}
	held := map[int]bool{}
	for _, x := range reads {
		for i, s := range streams {
			if s.engine == x.engine && s.begun.Before(x.from) && s.end.After(x.from) {
				held[i] = true
			}
		}
	}
	return len(held)
}

// leastBusy returns the least busy of some engines.
func leastBusy(load []int, from, to int) int {
	best := from
	for i := from; i < to; i++ {
		if load[i] < load[best] {
			best = i
		}
	}
	return best
}

// One request in thirty summarises a long case file. Sent to the least busy engine, its prompt stops all streams of that engine for
// longer than they may pause, and debtors see their answers stall. Two engines that have only such requests spare the others.
func TestFewStreamsPauseForLargePrompts(t *testing.T) {
	anywhere := func(_ *rand.Rand, _ bool, load []int) int { return leastBusy(load, 0, engine) }
	apart := func(_ *rand.Rand, heavy bool, load []int) int {
		if heavy {
			return leastBusy(load, 0, 2)
		}
		return leastBusy(load, 2, engine)
	}
	var before, after []int
	for seed := range uint64(3) {
		before = append(before, paused(seed, anywhere))
		after = append(after, paused(seed, apart))
	}
	t.Logf("streams paused for too long: %v anywhere, %v apart", before, after)
	if got, most := slices.MaxFunc(after, cmp.Compare), slices.MinFunc(before, cmp.Compare)/2; got > most {
		t.Errorf("paused for too long = %d, want at most %d: half of what it is without engines for large prompts", got, most)
	}
}
