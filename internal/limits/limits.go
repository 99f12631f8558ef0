// Package limits holds teams to their limits over all hosts.
//
// A team's limit lies in a few equal parts at as many hosts; see package quotas. For each request the host that the caller reached asks one
// of them, and another one where that has nothing left or gives no answer: the loss of a host takes a part of the limit away, and not all.
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
	// large is the part of a part's burst up to which a request gets all its units from one part, where parts hold many units. Other requests
	// get equal units from each part, so that all are as full: the units of a long one would often be there and yet in no part alone.
	large = 0.5
	// nearly is the part of all parts' burst that a request gets where it counts more: parts are seldom full at the same moment.
	nearly = 0.9
	// askFor bounds one question, and the pause before a host that gave no answer is asked again.
	askFor = 250 * time.Millisecond
	// lookEvery is the pause before all parts are asked again where none gave an answer.
	lookEvery = 100 * time.Millisecond
	// mostFull bounds for how long a part that has nothing left is not asked again.
	mostFull = 200 * time.Millisecond
	// leastRetry is the earliest for a caller to come back, and unknownRetry when nobody could be asked.
	leastRetry   = 50 * time.Millisecond
	unknownRetry = 700 * time.Millisecond
	// sayEvery is how often a line tells that a part gives no answer.
	sayEvery = time.Second
	// returnFor bounds giving back what was not used.
	returnFor = time.Second
)

var (
	// errSilent says that a part gave no answer, and errNobody that none of a team's parts did a moment ago.
	errSilent = merry.Sentinel("limits: no answer")
	errNobody = merry.Sentinel("limits: no part to ask")
)

// Limits may be used from several goroutines. Its fields are set before the first request.
type Limits struct {
	// Ask asks the host that holds the part of a charge; its error means that none can be asked.
	Ask func(ctx context.Context, c charge.Charge) (ruling.Ruling, error)
	Log *zap.Logger

	mu   sync.Mutex
	full map[string]full      // parts that need not be asked, by part and team
	said map[string]time.Time // when a line last told that a part gives no answer
}

// full is what a part had left when it was asked last.
type full struct {
	until  time.Time // it need not be asked before
	units  float64   // for as many or more
	fits   time.Time // when the units are there
	silent bool      // it gave no answer
}

// grant is units that a part gave.
type grant struct {
	charge charge.Charge
	ruling ruling.Ruling
}

// Charge has a request counted. Back must be called where it turns out not to have run.
func (l *Limits) Charge(ctx context.Context, t team.Team, version int64, units float64) (back func(), refusal *refuse.Refusal) {
	for {
		grants, wait, err := l.ask(ctx, t, l.parts(t, version), units)
		switch {
		case err == nil && wait == 0:
			return func() { l.giveBack(grants) }, nil
		case err == nil:
			l.giveBack(grants)
			return nil, refuse.NewRefusal(verd.NotRun, refuse.Limited,
				"the limit of team %s, %.0f units a second and %.0f at once, has no %.0f units left", t.Name, t.Rate, t.Burst, units).
				WithRetry(max(leastRetry, wait))
		}
		l.giveBack(grants)
		if !errors.Is(err, errSilent) && !ticker.Sleep(ctx, lookEvery) || ctx.Err() != nil {
			return nil, refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no host tells what is left of the limit of team %s", t.Name).
				WithRetry(unknownRetry)
		}
	}
}

// ask asks parts until a request has the units that it counts. Where it does not get them wait is how long it will be until they are there.
func (l *Limits) ask(ctx context.Context, t team.Team, list []charge.Charge, units float64) (grants []grant, wait time.Duration, err error) {
	if len(list) == 0 {
		return nil, 0, errNobody
	}
	burst := list[0].Burst
	if burst >= holds(t) && units <= large*burst {
		return l.askOne(ctx, list, units)
	}
	return l.askEach(ctx, list, units)
}

// askOne asks one part after the other for all units.
func (l *Limits) askOne(ctx context.Context, list []charge.Charge, units float64) (grants []grant, wait time.Duration, err error) {
	err = errSilent
	for _, c := range list {
		c = c.WithUnits(units, 0)
		f, known := l.known(c)
		if !known {
			r, failed := l.send(ctx, c)
			if failed != nil {
				continue
			}
			if r.Units > 0 {
				return []grant{{c, r}}, 0, nil
			}
			f = l.note(c, full{until: time.Now().Add(min(mostFull, r.Wait)), units: units, fits: time.Now().Add(r.Wait)})
		}
		if fits := max(leastRetry, time.Until(f.fits)); err != nil || fits < wait {
			wait, err = fits, nil
		}
	}
	return nil, wait, err
}

// askEach asks each part for the same units, in the same order for all: where the first one lacks its share the request is refused, and of two
// requests at once the first one gets its units. Asking in any order, each could get the part that the other one lacks. What a request
// counts beyond the burst of all parts together is taken from parts that are nearly full alone.
func (l *Limits) askEach(ctx context.Context, list []charge.Charge, units float64) (grants []grant, wait time.Duration, err error) {
	slices.SortFunc(list, func(a, b charge.Charge) int { return strings.Compare(a.Part, b.Part) })
	n := float64(len(list))
	need := min(units, nearly*n*list[0].Burst)
	for _, c := range list {
		c = c.WithUnits(need/n, (units-need)/n)
		r, err := l.send(ctx, c)
		if err != nil {
			return grants, 0, err
		}
		if r.Units == 0 {
			return grants, max(leastRetry, r.Wait), nil
		}
		grants = append(grants, grant{c, r})
	}
	return grants, 0, nil
}

// send asks the host that holds a part.
func (l *Limits) send(ctx context.Context, c charge.Charge) (ruling.Ruling, error) {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	r, err := l.Ask(ctx, c)
	if err == nil && r.Counts {
		return r, nil
	}
	l.note(c, full{until: time.Now().Add(lookEvery), silent: true})
	if l.says(c.Part, time.Now()) {
		l.Log.Info("limit not counted", zap.String("part", c.Part), zap.String("team", c.Team), zap.Error(err))
	}
	return ruling.Ruling{}, merry.Prependf(errSilent, "%s: %v", c.Part, err)
}

// says reports whether a line is to tell that a part gives no answer: each request asks for it, and its own line tells what became of that.
func (l *Limits) says(part string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.said[part]) < sayEvery {
		return false
	}
	if l.said == nil {
		l.said = map[string]time.Time{}
	}
	l.said[part] = now
	return true
}

// known returns what is known of a part without asking.
func (l *Limits) known(c charge.Charge) (full, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.full[c.Part+c.Team]
	return f, ok && time.Now().Before(f.until) && (f.silent || c.Units >= f.units)
}

// note remembers that a part has nothing left, or gave no answer.
func (l *Limits) note(c charge.Charge, f full) full {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full == nil {
		l.full = map[string]full{}
	}
	l.full[c.Part+c.Team] = f
	return f
}

// giveBack gives units back that a request has not used. Where that fails they are lost to the team, which is as safe.
func (l *Limits) giveBack(grants []grant) {
	for _, g := range grants {
		go l.returnOne(g.charge.WithReturn(g.ruling.Units, g.ruling.Life, g.ruling.Taken))
	}
}

func (l *Limits) returnOne(c charge.Charge) {
	ctx, cancel := context.WithTimeout(context.Background(), returnFor)
	defer cancel()
	if _, err := l.Ask(ctx, c); err != nil {
		l.Log.Info("units not given back", zap.String("team", c.Team), zap.Float64("units", -c.Units), zap.Error(err))
	}
}
