// Package limits enforces the limits of teams over all hosts.
//
// A team's limit is divided into a few equal shards on as many hosts; see package quotas. For each request the entry host
// charges one shard, and tries another if that is used up or doesn't answer: losing a host takes away only one shard.
package limits

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/charge"
	"damaskreach/internal/ruling"
	"damaskreach/internal/team"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// singleShardShare is the share of a shard's burst up to which a request gets all units from one shard, if shards are large.
	// Other requests get equal units from each shard, so that shards drain evenly; otherwise the units of a large request
	// would often be available in total but in no single shard.
	singleShardShare = 0.5
	// fullShare is the share of the total burst that an oversized request must get: shards are rarely full at the same time.
	fullShare = 0.9
	// askTimeout bounds a charge to a shard.
	askTimeout = 250 * time.Millisecond
	// retryInterval is the pause before a shard without an answer is asked again, and before all shards are tried again if none
	// answers.
	retryInterval = 100 * time.Millisecond
	// maxEmptyTTL bounds how long a shard without enough units is not asked again.
	maxEmptyTTL = 200 * time.Millisecond
	// minRetryAfter is the least Retry-After for callers; unavailableRetryAfter applies if no shard could be asked.
	minRetryAfter         = 50 * time.Millisecond
	unavailableRetryAfter = 700 * time.Millisecond
	// logInterval is the least time between log lines about one shard that doesn't answer.
	logInterval = time.Second
	// returnTimeout bounds the return of unused units.
	returnTimeout = time.Second
)

var (
	// errNoAnswer means that a shard did not answer; errNoShard that none of a team's shards has answered recently.
	errNoAnswer = merry.Sentinel("limits: no answer")
	errNoShard  = merry.Sentinel("limits: no shard to ask")
)

// Limits is safe for concurrent use. Its fields are set before the first request.
type Limits struct {
	// Ask sends a charge to the host that holds its shard; an error means that no host could be asked.
	Ask func(ctx context.Context, c charge.Charge) (ruling.Ruling, error)
	Log *zap.Logger

	mu       sync.Mutex
	states   map[string]shardState // shards that need not be asked, by shard and team
	loggedAt map[string]time.Time  // time of the last log line that a shard did not answer
}

// shardState caches the last result of asking a shard.
type shardState struct {
	validUntil  time.Time // the shard need not be asked before
	units       float64   // for this many units or more
	availableAt time.Time // when the units are available
	noAnswer    bool      // the shard did not answer
}

// grant is units that a shard granted.
type grant struct {
	charge charge.Charge
	ruling ruling.Ruling
}

// Charge charges a request to its team's limit. The caller calls giveBack if the request turns out not to have run.
func (l *Limits) Charge(ctx context.Context, t team.Team, version int64, units float64) (giveBack func(), refusal *refuse.Refusal) {
	for {
		grants, wait, err := l.acquire(ctx, t, l.shardsOf(t, version), units)
		switch {
		case err == nil && wait == 0:
			return func() { l.returnGrants(grants) }, nil
		case err == nil:
			l.returnGrants(grants)
			return nil, refuse.NewRefusal(verd.NotRun, refuse.Limited,
				"the limit of team %s, %.0f units a second and %.0f at once, has no %.0f units left", t.Name, t.Rate, t.Burst, units).
				WithRetry(max(minRetryAfter, wait))
		}
		l.returnGrants(grants)
		if !errors.Is(err, errNoAnswer) && !ticker.Sleep(ctx, retryInterval) || ctx.Err() != nil {
			return nil, refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no host tells what is left of the limit of team %s", t.Name).
				WithRetry(unavailableRetryAfter)
		}
	}
}

// acquire asks shards for the units of a request. If it does not get them, wait is the time until they are available.
func (l *Limits) acquire(
	ctx context.Context, t team.Team, list []charge.Charge, units float64,
) (grants []grant, wait time.Duration, err error) {
	if len(list) == 0 {
		return nil, 0, errNoShard
	}
	burst := list[0].Burst
	if burst >= minShardBurst(t) && units <= singleShardShare*burst {
		return l.acquireFromOne(ctx, list, units)
	}
	return l.acquireFromEach(ctx, list, units)
}

// acquireFromOne asks one shard after the other for all units.
func (l *Limits) acquireFromOne(ctx context.Context, list []charge.Charge, units float64) (grants []grant, wait time.Duration, err error) {
	err = errNoAnswer
	for _, c := range list {
		c = c.WithUnits(units, 0)
		f, known := l.cachedState(c)
		if !known {
			r, failed := l.askShard(ctx, c)
			if failed != nil {
				continue
			}
			if r.Units > 0 {
				return []grant{{c, r}}, 0, nil
			}
			f = l.cacheState(c, shardState{validUntil: time.Now().Add(min(maxEmptyTTL, r.Wait)), units: units, availableAt: time.Now().Add(r.Wait)})
		}
		if shardWait := max(minRetryAfter, time.Until(f.availableAt)); err != nil || shardWait < wait {
			wait, err = shardWait, nil
		}
	}
	return nil, wait, err
}

// acquireFromEach asks each shard for equal units, always in the order of their names: if two requests compete, the first shard
// decides, and one of them gets all units. In any other order each could get a shard that the other one lacks. The units
// beyond the burst of all shards are taken only from nearly full shards.
func (l *Limits) acquireFromEach(ctx context.Context, list []charge.Charge, units float64) (grants []grant, wait time.Duration, err error) {
	slices.SortFunc(list, func(a, b charge.Charge) int { return strings.Compare(a.Shard, b.Shard) })
	n := float64(len(list))
	need := min(units, fullShare*n*list[0].Burst)
	for _, c := range list {
		c = c.WithUnits(need/n, (units-need)/n)
		r, err := l.askShard(ctx, c)
		if err != nil {
			return grants, 0, err
		}
		if r.Units == 0 {
			return grants, max(minRetryAfter, r.Wait), nil
		}
		grants = append(grants, grant{c, r})
	}
	return grants, 0, nil
}

// askShard sends a charge to the host that holds its shard.
func (l *Limits) askShard(ctx context.Context, c charge.Charge) (ruling.Ruling, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := l.Ask(ctx, c)
	if err == nil && r.Counted {
		return r, nil
	}
	l.cacheState(c, shardState{validUntil: time.Now().Add(retryInterval), noAnswer: true})
	if l.shouldLog(c.Shard, time.Now()) {
		l.Log.Info("limit not counted", zap.String("part", c.Shard), zap.String("team", c.Team), zap.Error(err))
	}
	return ruling.Ruling{}, merry.Prependf(errNoAnswer, "%s: %v", c.Shard, err)
}

// shouldLog limits the lines about a shard that doesn't answer: each request asks it, and the request's own line has the outcome.
func (l *Limits) shouldLog(shard string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt[shard]) < logInterval {
		return false
	}
	if l.loggedAt == nil {
		l.loggedAt = map[string]time.Time{}
	}
	l.loggedAt[shard] = now
	return true
}

// cachedState returns the cached state of a shard if it still answers the charge.
func (l *Limits) cachedState(c charge.Charge) (shardState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.states[c.Shard+c.Team]
	return f, ok && time.Now().Before(f.validUntil) && (f.noAnswer || c.Units >= f.units)
}

// cacheState stores that a shard has too few units or did not answer.
func (l *Limits) cacheState(c charge.Charge, f shardState) shardState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]shardState{}
	}
	l.states[c.Shard+c.Team] = f
	return f
}

// returnGrants returns unused units. If that fails, the team loses them, but its limit still holds.
func (l *Limits) returnGrants(grants []grant) {
	for _, g := range grants {
		go l.returnUnits(g.charge.WithReturn(g.ruling.Units, g.ruling.Life, g.ruling.Taken))
	}
}

func (l *Limits) returnUnits(c charge.Charge) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if _, err := l.Ask(ctx, c); err != nil {
		l.Log.Info("units not returned", zap.String("team", c.Team), zap.Float64("units", -c.Units), zap.Error(err))
	}
}
