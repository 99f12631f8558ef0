package limits_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/charge"
	"damaskreach/internal/limits"
	"damaskreach/internal/ruling"
	"damaskreach/internal/team"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

var red = team.Team{Name: "red", Rate: 100, Burst: 100}

// fakeHosts stands for the hosts that hold the shards, each with some units left.
type fakeHosts struct {
	mu      sync.Mutex
	left    map[string]float64
	down    map[string]bool // shards whose hosts don't answer
	noHosts bool            // no shard has a host
	asked   int
	latency time.Duration // of a charge
}

func (c *fakeHosts) ask(ctx context.Context, ch charge.Charge) (ruling.Ruling, error) {
	c.mu.Lock()
	c.asked++
	gone, down := c.noHosts, c.down[ch.Shard]
	c.mu.Unlock()
	if gone {
		return ruling.Ruling{}, errors.New("no host")
	}
	if down {
		<-ctx.Done()
		return ruling.Ruling{}, ctx.Err()
	}
	time.Sleep(c.latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == nil {
		c.left = map[string]float64{}
	}
	if _, ok := c.left[ch.Shard]; !ok {
		c.left[ch.Shard] = ch.Burst
	}
	if ch.Units < 0 {
		c.left[ch.Shard] -= ch.Units
		return ruling.Ruling{Counted: true}, nil
	}
	units := ch.Units
	if units > c.left[ch.Shard] {
		units = 0
	}
	c.left[ch.Shard] -= units
	return ruling.Ruling{Counted: true, Units: units, Wait: 2 * time.Second, Life: "life", Taken: time.Hour}, nil
}

func newLimits(c *fakeHosts) *limits.Limits {
	return &limits.Limits{Ask: c.ask, Log: zap.NewNop()}
}

// Requests use shards at random, so one is used up before the others. Requests must be refused only once all shards are used
// up, and all shards together must grant exactly the limit.
func TestShardsAddUpToTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHosts{}
		l := newLimits(c)
		granted := 0
		for range 300 {
			if _, refusal := l.Charge(t.Context(), red, 1, 1); refusal == nil {
				granted++
			}
		}
		if got, want := granted, 100; got != want {
			t.Errorf("granted = %d, want %d", got, want)
		}
	})
}

// A team is far over its limit. Its requests must be refused at once, with a Retry-After, and hardly ever ask a shard.
func TestTeamOverItsLimitIsRefusedWithoutAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHosts{}
		l := newLimits(c)
		for range 200 {
			l.Charge(t.Context(), red, 1, 1)
		}
		c.asked = 0
		begin := time.Now()
		var last *refuse.Refusal
		for range 1000 {
			_, last = l.Charge(t.Context(), red, 1, 1)
		}
		if last == nil || last.Code != refuse.Limited || last.Verdict != verd.NotRun ||
			last.Retry < 1500*time.Millisecond || last.Retry > 2*time.Second {
			t.Errorf("refusal = %v, retry after %v, want limited, not run, about 2 s", last, last.Retry)
		}
		if c.asked > 8 || time.Since(begin) > 0 {
			t.Errorf("asked %d times in %v for 1000 requests, want hardly any", c.asked, time.Since(begin))
		}
		if _, refusal := l.Charge(t.Context(), red, 1, 0.5); refusal == nil {
			t.Error("half a unit granted, want it refused: nothing is left")
		}
	})
}

// A team has units for a large request, but in no single shard. The request must get them from several; if they don't suffice,
// it must return them.
func TestLongRequestTakesUnitsFromAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHosts{}
		l := newLimits(c)
		few := team.Team{Name: "few", Rate: 12, Burst: 12}
		if _, refusal := l.Charge(t.Context(), few, 1, 10); refusal != nil {
			t.Errorf("10 of 12 units: %v, want them granted", refusal)
		}
		if _, refusal := l.Charge(t.Context(), few, 1, 3); refusal == nil || refusal.Code != refuse.Limited {
			t.Errorf("3 of the last 2 units: %v, want it limited", refusal)
		}
		synctest.Wait()
		if back, refusal := l.Charge(t.Context(), few, 1, 2); refusal != nil {
			t.Errorf("the last 2 units: %v, want them granted", refusal)
		} else {
			back()
		}
		synctest.Wait()
		sum := 0.0
		for _, left := range c.left {
			sum += left
		}
		if sum != 2 {
			t.Errorf("left = %v units after the last ones came back, want 2", sum)
		}
	})
}

// Two large requests compete for units that suffice for one. If each got a shard that the other one lacks, both would be
// refused.
func TestOneOfTwoConcurrentLongRequestsIsGranted(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			c := &fakeHosts{latency: 2 * time.Millisecond}
			l := newLimits(c)
			few := team.Team{Name: "few", Rate: 12, Burst: 12}
			granted := make(chan bool, 2)
			for range 2 {
				go func() {
					_, refusal := l.Charge(t.Context(), few, 1, 10)
					granted <- refusal == nil
				}()
			}
			if one, other := <-granted, <-granted; one == other {
				t.Errorf("granted: %v and %v, want one of them", one, other)
			}
			time.Sleep(time.Second) // for the units to be returned
		})
	}
}

// The host of one shard is dead. Requests must use the other shards, without delay after the first one.
func TestLostShardDoesNotDelayRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHosts{down: map[string]bool{}}
		l := newLimits(c)
		l.Charge(t.Context(), red, 1, 1)
		for shard := range c.left {
			c.down[shard] = true
		}
		for range 20 {
			begin := time.Now()
			_, refusal := l.Charge(t.Context(), red, 1, 1)
			if took := time.Since(begin); refusal != nil || took > 250*time.Millisecond {
				t.Errorf("refusal = %v after %v, want it granted within 250 ms", refusal, took)
			}
		}
	})
}

// After a power loss no shard has a host for a moment. A request must wait for one as long as it may, and must not be refused
// as over the limit.
func TestChargeWaitsForAvailableHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHosts{noHosts: true}
		l := newLimits(c)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(400*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.noHosts = false
		})
		if _, refusal := l.Charge(ctx, red, 1, 1); refusal != nil {
			t.Errorf("refused: %v, want it granted once a host counts", refusal)
		}
		c.noHosts = true
		short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, refusal := l.Charge(short, red, 1, 1)
		if refusal == nil || refusal.Code != refuse.NoUpstream || refusal.Retry == 0 || time.Since(begin) > 350*time.Millisecond {
			t.Errorf("refusal = %v after %v, want no-upstream in time, with a retry delay", refusal, time.Since(begin))
		}
	})
}

// A small limit has few units, and a large request takes most of them. It must have few shards, but more than one.
func TestNumberOfShardsGrowsWithBurst(t *testing.T) {
	for burst, want := range map[float64]int{1000: 2, 20000: 2, 30000: 3, 200000: 4} {
		seen := map[string]bool{}
		l := &limits.Limits{Log: zap.NewNop(), Ask: func(_ context.Context, c charge.Charge) (ruling.Ruling, error) {
			seen[c.Shard] = true
			if got := c.Burst * float64(want); got != burst {
				t.Errorf("burst %v: shards add up to %v", burst, got)
			}
			if burst < 20000 { // large requests need units of each shard
				return ruling.Ruling{Counted: true, Units: c.Units}, nil
			}
			return ruling.Ruling{Counted: true, Wait: time.Second}, nil
		}}
		l.Charge(t.Context(), team.Team{Name: "red", Tokens: true, Rate: burst, Burst: burst}, 1, 100)
		if got := len(seen); got != want {
			t.Errorf("burst %v: %d shards, want %d", burst, got, want)
		}
	}
}
