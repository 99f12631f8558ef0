package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/began"
	"damaskreach/internal/mate"
	"damaskreach/internal/spread"
	"damaskreach/internal/stats"
	"damaskreach/internal/ticker"
)

const (
	// originKeepers is how many other hosts remember where a stream of a group with several builds began. More are asked, as hosts that
	// started or ended since then change which ones come first.
	originKeepers, originAsked = 2, 4
	// originTimeout bounds messages about where streams began: some round trips between hosts.
	originTimeout = 300 * time.Millisecond
	// streamPrefix is the key prefix of the rows that tell where streams began.
	streamPrefix = "began/"
	// clearInterval is the time between two looks at whether these rows may be removed.
	clearInterval = 5 * time.Second
	// maxViewAge is the age of the registrations up to which a host without contact to others relies on them.
	maxViewAge = 5 * time.Second
)

// observeBuilds records the builds that are registered now. Streams that began before their group ran several builds are made known to other
// hosts, which need not have known so far.
func (e *Edge) observeBuilds() {
	for _, group := range e.builds.Observe(e.intake.View().Targets, time.Now()) {
		e.Log.Info("group runs several builds", zap.String("group", group), zap.Strings("builds", e.builds.All()[group]))
		e.shareOrigins(e.origins.Group(group))
	}
}

// shareOrigins makes known where streams began: to other hosts at once, in case this one is lost, and in rows, in case all are.
func (e *Edge) shareOrigins(list []began.Began) {
	e.tellOrigins(list)
	e.spool.Add(list)
}

// restoreOrigins reads where streams began before this host started.
func (e *Edge) restoreOrigins(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := e.spool.Load(ctx)
		if err == nil {
			e.keepOrigins(list)
			e.Log.Info("beginnings of streams read", zap.Int("streams", len(list)))
			return
		}
		e.Log.Info("beginnings of streams not read", zap.Error(err))
		ticker.Sleep(ctx, e.retryDelay())
	}
}

// clearOrigins removes the rows of streams once no group runs several builds any more, while this host reads the store for the others.
func (e *Edge) clearOrigins(ctx context.Context) {
	left := true
	for range ticker.Every(ctx, clearInterval) {
		if e.builds.Mixed() {
			left = true
			continue
		}
		if !left || !e.isReader() {
			continue
		}
		empty, err := e.spool.Clear(ctx)
		if err != nil {
			e.Log.Info("rows of streams not removed", zap.Error(err))
		}
		left = !empty
	}
}

// recordOrigin remembers where a stream began, at other hosts too if its group runs several builds.
func (e *Edge) recordOrigin(b began.Began) {
	e.origins.Add(b, time.Now())
	if _, ok := e.builds.Sole(b.Group); !ok {
		e.shareOrigins([]began.Began{b})
	}
}

// tellOrigins has other hosts remember where streams began. A lost message costs the resumption of a stream whose host is lost too.
func (e *Edge) tellOrigins(list []began.Began) {
	mesh := e.mesh.Load()
	if mesh == nil {
		return
	}
	byKeeper := map[mate.Mate][]began.Began{}
	for _, b := range list {
		for _, keeper := range e.originHosts(b.Attempt, originKeepers) {
			byKeeper[keeper] = append(byKeeper[keeper], b)
		}
	}
	for keeper, list := range byKeeper {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
			defer cancel()
			var none struct{}
			if err := mesh.Ask(ctx, keeper.PeerAddr, methodBegan, list, &none); err != nil {
				e.Log.Debug("failed to tell where streams began", zap.String("host", keeper.IP), zap.Error(err))
			}
		}()
	}
}

// keepOrigins remembers streams that began at other hosts.
func (e *Edge) keepOrigins(list []began.Began) {
	now := time.Now()
	for _, b := range list {
		e.origins.Add(b, now)
	}
}

// originHosts returns the other hosts that remember a stream.
func (e *Edge) originHosts(attempt string, count int) []mate.Mate {
	f := e.fallback.Load()
	others := slices.DeleteFunc(slices.Clone(f.keepers), func(ip string) bool { return ip == f.self })
	var list []mate.Mate
	for _, ip := range spread.Rank(others, attempt, count) {
		list = append(list, f.alive[ip])
	}
	return list
}

// findBuild returns the build of a group that began a stream, whose first event answered an attempt.
func (e *Edge) findBuild(ctx context.Context, attempt, group string) (build string, ok bool) {
	build, outcome := e.lookUpBuild(ctx, attempt, group)
	e.Stats.Add(stats.Origins, 1, "outcome", outcome)
	return build, outcome != "unknown"
}

func (e *Edge) lookUpBuild(ctx context.Context, attempt, group string) (build, outcome string) {
	if b, ok := e.origins.Find(attempt); ok && b.Group == group {
		return b.Build, "own"
	}
	if build, ok := e.builds.Sole(group); ok && e.facts.Restored() && e.hearsOfBuilds() {
		return build, "sole"
	}
	if b, ok := e.askOrigin(ctx, attempt); ok && b.Group == group {
		e.origins.Add(b, time.Now())
		return b.Build, "asked"
	}
	return "", "unknown"
}

// hearsOfBuilds reports whether this host would know of a build that serves elsewhere: it could have read the store, or others tell it.
func (e *Edge) hearsOfBuilds() bool {
	if e.readAge() < maxViewAge {
		return true
	}
	m := e.mates.Load()
	return m != nil && len(m.Serving()) > 0
}

// askOrigin asks the hosts that may remember where a stream began.
func (e *Edge) askOrigin(ctx context.Context, attempt string) (b began.Began, ok bool) {
	mesh, hosts := e.mesh.Load(), e.originHosts(attempt, originAsked)
	if mesh == nil || len(hosts) == 0 {
		return b, false
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	answers := make(chan began.Began, len(hosts))
	for _, h := range hosts {
		go func() {
			var b began.Began
			if err := mesh.Ask(ctx, h.PeerAddr, methodOrigin, attempt, &b); err != nil {
				e.Log.Debug("failed to ask where a stream began", zap.String("host", h.IP), zap.Error(err))
			}
			answers <- b
		}()
	}
	for range hosts {
		if b = <-answers; b.Attempt != "" {
			return b, true
		}
	}
	return b, false
}

// recentBuilds returns the builds of a group that other hosts may not know of yet.
func (e *Edge) recentBuilds(group string) []string {
	return e.builds.Recent(group, e.Setup().Drain, time.Now())
}
