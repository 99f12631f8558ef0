package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/began"
	"damaskreach/internal/mate"
	"damaskreach/internal/peer"
	"damaskreach/internal/recall"
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
	// lookUpTimeout is how long the build of a stream is looked for: until hosts that are lost count as alive no longer. Others are asked again each askInterval.
	lookUpTimeout = 1500 * time.Millisecond
	askInterval   = 100 * time.Millisecond
)

// observeBuilds records the builds that are registered now. Streams that began before their group ran several builds are made known to other
// hosts, which need not have known so far.
func (e *Edge) observeBuilds() {
	for _, group := range e.builds.Observe(e.intake.View().Targets, time.Now()) {
		e.Log.Info("group runs several builds", zap.String("group", group), zap.Strings("builds", e.builds.All()[group]))
		list := e.origins.Group(group)
		e.tellOrigins(list)
		e.spool.Add(list) // many from each host at once: more than one that writes for several could take beside what begins now
	}
}

// writeOrigin has where a stream began written down, by one of the hosts that do so for all: together they may write only so often, and each of many hosts would be late.
// Where that one does not take it, this host writes.
func (e *Edge) writeOrigin(b began.Began) {
	list := []began.Began{b}
	f, mesh := e.fallback.Load(), e.mesh.Load()
	writer, ok := f.alive[f.writer]
	if !ok || mesh == nil {
		e.spool.Add(list)
		return
	}
	go func() {
		if err := tellBegan(mesh, writer, methodSpool, list); err != nil {
			e.Log.Info("beginnings of streams not taken by their writer", zap.String("host", writer.IP), zap.String("attempt", b.Attempt), zap.Error(err))
			e.spool.Add(list)
		}
	}()
}

// tellBegan tells another host where streams began, by a method.
func tellBegan(mesh *peer.Mesh, to mate.Mate, method string, list []began.Began) error {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	var none struct{}
	return mesh.Ask(ctx, to.PeerAddr, method, list, &none)
}

// writerCount returns how many hosts write as often as this one may: those that do so for all and those out of contact, which may take themselves for some of them; or
// all, where this one writes only what none of them took.
func (e *Edge) writerCount() int {
	f, hosts := e.fallback.Load(), e.hostCount()
	if f.writer != f.self {
		return hosts
	}
	return f.writers + max(0, hosts-1-len(f.alive))
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

// recordOrigin remembers where a stream began, and while its group runs several builds other hosts do so too, in case this one is lost, and rows, in case all are.
func (e *Edge) recordOrigin(b began.Began) {
	e.origins.Add(b, time.Now())
	if _, ok := e.builds.Sole(b.Group); !ok {
		e.tellOrigins([]began.Began{b})
		e.writeOrigin(b)
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
			if err := tellBegan(mesh, keeper, methodBegan, list); err != nil {
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

// lookUpBuild also tells how the build was found. It asks until enough of the others answer, as hosts that are lost still count as alive for a while.
func (e *Edge) lookUpBuild(ctx context.Context, attempt, group string) (build, outcome string) {
	if b, ok := e.origins.Find(attempt); ok && b.Group == group {
		return b.Build, "own"
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	since := e.Clock()
	for {
		asked, answers := e.askOrigin(ctx, attempt, group)
		for _, r := range answers {
			if r.Knows(group) {
				e.origins.Add(r.Began, time.Now())
				return r.Began.Build, "asked"
			}
		}
		sole, ok := e.soleBuild(group, answers)
		if !ok {
			return "", "unknown"
		}
		if 2*len(answers) > asked {
			return sole, "sole"
		}
		if e.readBuilds(ctx, since) {
			if later, ok := e.builds.Sole(group); ok && later == sole {
				return sole, "read"
			}
			return "", "unknown"
		}
		if !ticker.Sleep(ctx, askInterval) {
			return "", "unknown"
		}
	}
}

// readBuilds learns the builds that hosts have written down, unless it has done so since a time by the clock. It reports false where the store does not tell.
func (e *Edge) readBuilds(ctx context.Context, since time.Duration) bool {
	if e.buildsTurn.Acquire(ctx, 1) != nil {
		return false
	}
	defer e.buildsTurn.Release(1)
	if e.buildsRead > since {
		return true
	}
	begun := e.Clock()
	row, err := e.Table.Read(ctx, buildsKey)
	if err != nil {
		e.Log.Info("builds not read", zap.Error(err))
		return false
	}
	e.learnFacts(map[string]string{buildsKey: string(row.Value)})
	e.buildsRead = begun
	return true
}

// soleBuild returns the one build of a group that this host and those that have answered know. It counts only if most others say so, or this host has read what is
// written down since it was asked: a host that was cut off or stood still does not know what has come meanwhile, nor that it does not know.
func (e *Edge) soleBuild(group string, answers []recall.Recall) (build string, ok bool) {
	build, ok = e.builds.Sole(group)
	knowsOthers := func(r recall.Recall) bool { return !r.KnowsOnly(build) }
	return build, ok && e.facts.Restored() && !slices.ContainsFunc(answers, knowsOthers)
}

// askOrigin asks the hosts that may remember where a stream began, and returns how many it asked and the answers that came. It waits for no further answers once one
// knows the stream.
func (e *Edge) askOrigin(ctx context.Context, attempt, group string) (asked int, answers []recall.Recall) {
	mesh, hosts := e.mesh.Load(), e.originHosts(attempt, originAsked)
	if mesh == nil {
		return len(hosts), nil
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	came := make(chan recall.Recall, len(hosts))
	for _, h := range hosts {
		go func() {
			var r recall.Recall
			if err := mesh.Ask(ctx, h.PeerAddr, methodRecall, began.Began{Attempt: attempt, Group: group}, &r); err != nil {
				e.Log.Debug("failed to ask where a stream began", zap.String("host", h.IP), zap.Error(err))
			}
			came <- r
		}()
	}
	for range hosts {
		r := <-came
		if r.Knows(group) {
			return len(hosts), []recall.Recall{r}
		}
		if len(r.Builds) > 0 {
			answers = append(answers, r)
		}
	}
	return len(hosts), answers
}

// recallStream answers another host that asks which build began a stream.
func (e *Edge) recallStream(q began.Began) recall.Recall {
	b, _ := e.origins.Find(q.Attempt) // the zero value if it is not remembered
	return recall.Recall{Began: b, Builds: e.builds.Of(q.Group)}
}

// recentBuilds returns the builds of a group that other hosts may not know of yet.
func (e *Edge) recentBuilds(group string) []string {
	return e.builds.Recent(group, e.Setup().Drain, time.Now())
}
