// Package chance weighs whether it can be chance that requests with something in common were at upstreams that ended.
//
// An upstream may end under a request that it runs or has just answered without that request being the cause. What is asked for often is at hand at most ends, and
// what is asked for seldom at hardly any. So the ends at which a key was present are compared with how often it is present at upstreams that go on: a key that
// crashes what runs it is present far more often where upstreams end, also where most requests with the key run well. (Fault localization compares failed
// and passed runs of a program likewise: Jones and Harrold, "Empirical evaluation of the Tarantula automatic fault-localization technique", 2005.)
package chance

import (
	"math"
	"slices"
	"time"
)

const (
	// maxChance is the chance at most with which a key that crashes nothing is taken for one that does, each time that it is judged. A key is judged where it was
	// present at three ends within endRetention, which befalls sound ones in storms of crashes alone.
	maxChance = 1e-5
	// explains is the chance of its presence at ends up to which a fingerprint is taken for what explains them.
	explains = 0.01
	// minEnds is the number of ends at which a key must have been present.
	minEnds = 3
	// maxSuspects and maxBehind are up to how many requests of one host at an upstream its end speaks against: those that run, and those that run or have just
	// run. Where more are at hand, they have piled up before the end, and each is likely to be there.
	maxSuspects, maxBehind = 2, 4
	// endRetention is how long ends count.
	endRetention = 2 * time.Minute
	// sampleRetention is how long samples count, at the least.
	sampleRetention = 30 * time.Second
	// shareInterval is the shortest time between two reports of this host's share of a key.
	shareInterval = 2 * time.Second
	// maxKeys bounds the keys with ends, some 300 bytes each, and maxSampled those that are sampled in each sampleRetention, some 80 bytes each.
	maxKeys, maxSampled = 2000, 4000
)

// The classes of presence: with requests that run, or with those too that have just been answered.
const (
	Running = iota
	Behind
	classes
)

// The kinds of samples: of upstreams that went on for a while behind a moment, and of all that went on behind it at all. Where upstreams hardly live, there are none of the
// former; at the latter, a request that runs for long before it crashes its upstream is present too. Either is an estimate for one that crashes none.
const (
	WentOn = iota
	Any
	kinds
)

// Chance may be used from one goroutine at a time.
type Chance struct {
	keys    map[string]record
	ends    map[string]map[string]time.Time // when the end of an upstream became known, by group and incarnation
	samples [kinds][2]sampled               // the ones of the current sampleRetention, and of the one before
	since   time.Time                       // when the current one began
}

// sampled counts samples of live upstreams.
type sampled struct {
	groups map[string]int          // all, by group
	keys   map[string][classes]int // those with a key, by class
}

// record is what is known of one key.
type record struct {
	group  string
	ends   map[string]presence                // by incarnation of the upstream
	shares map[string][kinds][classes]float64 // of other hosts
	last   time.Time                          // when an end was last added
	told   time.Time                          // when this host last told its share
}

// presence is how a key was present at an end: the fingerprints of its requests, by class.
type presence [classes][]string

// NewChance returns a Chance that knows nothing.
func NewChance() *Chance {
	c := &Chance{keys: map[string]record{}, ends: map[string]map[string]time.Time{}}
	for kind := range c.samples {
		c.samples[kind] = [2]sampled{newSampled(), newSampled()}
	}
	return c
}

func newSampled() sampled {
	return sampled{groups: map[string]int{}, keys: map[string][classes]int{}}
}

// Sample records which keys are present at a live upstream of a group, by class; those of Running are among those of Behind.
func (c *Chance) Sample(kind int, group string, keys [classes][]string, now time.Time) {
	if now.Sub(c.since) >= sampleRetention {
		for kind, s := range c.samples {
			c.samples[kind] = [2]sampled{newSampled(), s[0]}
		}
		c.since = now
		c.forget(now)
	}
	s := c.samples[kind][0]
	s.groups[group]++
	for class, list := range keys {
		for _, key := range list {
			counts, known := s.keys[key]
			if !known && len(s.keys) >= maxSampled {
				continue
			}
			counts[class]++
			s.keys[key] = counts
		}
	}
}

// forget drops what counts no more.
func (c *Chance) forget(now time.Time) {
	for group, ends := range c.ends {
		for upstream, at := range ends {
			if now.Sub(at) > endRetention {
				delete(ends, upstream)
			}
		}
		if len(ends) == 0 {
			delete(c.ends, group)
		}
	}
	for key, r := range c.keys {
		if now.Sub(r.last) > endRetention {
			delete(c.keys, key)
		}
	}
}

// Share returns this host's shares of a key in a group: the part of its samples of live upstreams at which it was present, by kind and class.
func (c *Chance) Share(key, group string) (share [kinds][classes]float64) {
	for kind, samples := range c.samples {
		all := max(1, c.sampled(kind, group)) // a host without samples has none with the key, and does not judge by that
		for class := range classes {
			share[kind][class] = float64(samples[0].keys[key][class]+samples[1].keys[key][class]) / float64(all)
		}
	}
	return share
}

// sampled returns how many samples of live upstreams of a group there are.
func (c *Chance) sampled(kind int, group string) int {
	return c.samples[kind][0].groups[group] + c.samples[kind][1].groups[group]
}

// AddEnd records the end of an upstream. It reports false if that is known.
func (c *Chance) AddEnd(group, upstream string, now time.Time) bool {
	ends := c.ends[group]
	if ends == nil {
		ends = map[string]time.Time{}
		c.ends[group] = ends
	}
	if _, known := ends[upstream]; known {
		return false
	}
	ends[upstream] = now
	return true
}

// AddHit records that a key was present, with a request of a fingerprint, where an upstream ended.
func (c *Chance) AddHit(key, fingerprint, group, upstream string, class int, now time.Time) {
	c.AddEnd(group, upstream, now)
	c.Expect(key, group, now)
	r := c.keys[key]
	p := r.ends[upstream]
	for n := class; n < classes; n++ {
		if !slices.Contains(p[n], fingerprint) {
			p[n] = append(slices.Clip(p[n]), fingerprint)
		}
	}
	r.ends[upstream] = p
	c.keys[key] = r
}

// Expect makes a record of a key, so that shares of it count.
func (c *Chance) Expect(key, group string, now time.Time) {
	r, known := c.keys[key]
	if !known && len(c.keys) >= maxKeys {
		c.evict()
	}
	if !known {
		r = record{group: group, ends: map[string]presence{}, shares: map[string][kinds][classes]float64{}}
	}
	r.last = now
	c.keys[key] = r
}

// evict drops the key with the fewest ends.
func (c *Chance) evict() {
	least, fewest := "", math.MaxInt
	for key, r := range c.keys {
		if len(r.ends) < fewest {
			least, fewest = key, len(r.ends)
		}
	}
	delete(c.keys, least)
}

// SetShare records another host's share of a key; it counts where ends speak against the key.
func (c *Chance) SetShare(key, host string, share [kinds][classes]float64) {
	if r, known := c.keys[key]; known {
		r.shares[host] = share
	}
}

// ToTell returns this host's share of a key with ends, if other hosts are to be told of it: requests with it run here, and they were not told just now.
func (c *Chance) ToTell(key string, now time.Time) (share [kinds][classes]float64, tell bool) {
	r, known := c.keys[key]
	seen := false
	for _, samples := range c.samples {
		seen = seen || samples[0].keys[key][Behind]+samples[1].keys[key][Behind] > 0
	}
	if !known || !seen || now.Sub(r.told) < shareInterval {
		return share, false
	}
	r.told = now
	c.keys[key] = r
	return c.Share(key, r.group), true
}

// AllUnlikely returns the keys whose presence where upstreams ended cannot be chance. As samples come in, that may show between two ends.
func (c *Chance) AllUnlikely(now time.Time) (keys []string) {
	for key, r := range c.keys {
		if len(r.ends) >= minEnds && c.Unlikely(key, now) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Unlikely reports whether it cannot be chance that a key was present where upstreams ended.
func (c *Chance) Unlikely(key string, now time.Time) bool {
	_, _, chance := c.Weigh(key, now)
	return chance <= maxChance
}

// Weigh returns at how many of the ends in its group a key was present, and the chance of that for a key that is the cause of none; 1 where that is not judged yet.
func (c *Chance) Weigh(key string, now time.Time) (with, all int, chance float64) {
	r, known := c.keys[key]
	if !known || now.Sub(r.last) > endRetention {
		return 0, 0, 1
	}
	recent := map[string]bool{}
	for upstream, at := range c.ends[r.group] {
		if now.Sub(at) <= endRetention {
			recent[upstream] = true
		}
	}
	own := c.Share(key, r.group)
	chance = 1
	for class := range classes {
		hits := c.hits(key, r, class, recent, now)
		with = max(with, hits)
		if hits < minEnds {
			continue
		}
		for kind := range kinds {
			share := own[kind][class] + 1/float64(c.sampled(kind, r.group)+1) // a key that was seen in no sample may be present all the same
			for _, other := range r.shares {
				share += other[kind][class]
			}
			chance = min(chance, kinds*atLeast(hits, max(len(recent), hits), min(share, 1)))
		}
	}
	return with, len(recent), chance
}

// hits counts the recent ends at which a key was present. What one fingerprint explains alone does not speak against what it has in common with others: all ends with
// one of that kind count once.
func (c *Chance) hits(key string, r record, class int, recent map[string]bool, now time.Time) (n int) {
	with := map[string]int{} // ends by fingerprint
	for upstream, p := range r.ends {
		if len(p[class]) == 0 || !recent[upstream] {
			continue
		}
		n++
		for _, fingerprint := range p[class] {
			with[fingerprint]++
		}
	}
	explained := 1
	for fingerprint, count := range with {
		if fingerprint == key || count <= explained {
			continue
		}
		if _, _, chance := c.Weigh(fingerprint, now); chance <= explains {
			explained = count
		}
	}
	return n - explained + 1
}

// atLeast returns the chance that something of a given likelihood happens n times or more in so many trials.
func atLeast(n, trials int, likelihood float64) (chance float64) {
	if likelihood >= 1 {
		return 1
	}
	for k := n; k <= trials; k++ {
		chance += math.Exp(logChoose(trials, k) + float64(k)*math.Log(likelihood) + float64(trials-k)*math.Log1p(-likelihood))
	}
	return min(chance, 1)
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	lg := func(x int) float64 { v, _ := math.Lgamma(float64(x + 1)); return v }
	return lg(n) - lg(k) - lg(n-k)
}

// Suspects returns those of the requests at an upstream's end, by their fingerprints, that its end speaks against by class: none where many are at hand.
func Suspects(running, behind []string) (suspects [classes][]string) {
	if run := distinct(running); len(run) <= maxSuspects {
		suspects[Running] = run
	}
	if all := distinct(slices.Concat(running, behind)); len(all) <= maxBehind {
		suspects[Behind] = slices.DeleteFunc(all, func(f string) bool { return slices.Contains(suspects[Running], f) })
	}
	return suspects
}

func distinct(list []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}
