package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/bundle"
	"damaskreach/internal/rows"
	"damaskreach/internal/tenure"
)

const (
	// startFor is how long a host that starts waits for others to tell it all rows, beside its relays, which read them from the store.
	startFor = 3 * time.Second
	// tellingFor is how long an answer is taken to be under way.
	tellingFor = 100 * time.Millisecond
	// rowsFor bounds one question for all rows.
	rowsFor = time.Second
	// mostTold is how many hosts are told all rows at once: each answer is held until it is sent, and hundreds of hosts may ask. Others ask
	// again.
	mostTold = 8
	// bundleLife is how long an answer is used for all that ask: hosts start together.
	bundleLife = time.Second
)

// bundles keeps what hosts that start were told last, by prefix.
type bundles struct {
	mu   sync.Mutex
	made map[string]made
	told []time.Time // when the last hosts were told
}

// room reports whether one more host may be told now.
func (b *bundles) room(now time.Time) bool {
	b.told = slices.DeleteFunc(b.told, func(at time.Time) bool { return now.Sub(at) > tellingFor })
	if len(b.told) >= mostTold {
		return false
	}
	b.told = append(b.told, now)
	return true
}

type made struct {
	bundle.Bundle
	at time.Time
}

// patience returns for how long this host leaves the store's whole lists to others at its start: relays read them at once.
func (e *Edge) patience() time.Duration {
	if m := e.mates.Load(); m != nil {
		if relay, _ := m.Partners(); relay {
			return 0
		}
	}
	return startFor
}

// others asks the hosts that this one hears for all rows under a prefix.
func (e *Edge) others(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool) {
	m, mesh := e.mates.Load(), e.mesh.Load()
	if m == nil {
		return nil, 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, rowsFor)
	defer cancel()
	_, partners := m.Partners()
	for _, p := range partners {
		var b bundle.Bundle
		if err := mesh.Ask(ctx, p.Peers, methodRows, prefix, &b); err != nil || b.Rev == 0 {
			continue
		}
		list, err := b.Rows()
		if err != nil {
			e.Log.Warn("rows of another host cannot be read", zap.String("host", p.IP), zap.String("rows", prefix), zap.Error(err))
			continue
		}
		e.Log.Info("rows taken from another host", zap.String("host", p.IP), zap.String("rows", prefix), zap.Int64("revision", b.Rev),
			zap.Int("count", len(list)))
		return list, b.Rev, true
	}
	return nil, 0, false
}

// bundle returns all rows under a prefix as this host knows them, for another one that starts.
func (e *Edge) bundle(prefix string) (bundle.Bundle, error) {
	e.bundles.mu.Lock()
	defer e.bundles.mu.Unlock()
	now := time.Now()
	if !e.bundles.room(now) {
		return bundle.Bundle{}, nil
	}
	if last, ok := e.bundles.made[prefix]; ok && now.Sub(last.at) < bundleLife {
		return last.Bundle, nil
	}
	list, rev := e.known(prefix)
	if rev == 0 {
		return bundle.Bundle{}, nil
	}
	b, err := bundle.NewBundle(rev, list)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if e.bundles.made == nil {
		e.bundles.made = map[string]made{}
	}
	e.bundles.made[prefix] = made{Bundle: b, at: now}
	return b, nil
}

func (e *Edge) known(prefix string) (list []rows.Row, rev int64) {
	switch prefix {
	case e.Targets:
		return e.intake.Registrations()
	case e.Conf:
		return e.intake.Operators()
	case tenure.Prefix:
		return e.tenure.Rows()
	}
	return nil, 0
}
