package trial

import (
	"math/rand/v2"
	"time"

	"damaskreach/internal/stand/site"
)

// disturb sets faults in, one after the other, and ends them all.
func (t *Trial) disturb(random *rand.Rand) {
	left := t.Nodes - 2 // nodes that may die or leave
	for range soakFaults {
		time.Sleep(time.Duration(random.Int64N(int64(2 * soakTime / soakFaults))))
		kind := random.IntN(14)
		if kind < 2 && left == 0 {
			continue
		}
		if kind < 2 {
			left--
		}
		t.fault(random, kind)
	}
	t.Site.DB.SetDown(false)
}

// fault sets in one fault. Those that last end by themselves.
func (t *Trial) fault(random *rand.Rand, kind int) {
	node, other := random.IntN(t.Nodes), random.IntN(t.Nodes)
	engine := t.Site.Engines[random.IntN(len(t.Site.Engines))]
	service := t.Site.Plains[random.IntN(len(t.Site.Plains))]
	lasts := time.Duration(random.Int64N(int64(8 * time.Second)))
	host := t.host(random)
	switch kind {
	case 0:
		if !t.dead[node] {
			t.Kill(node)
		}
	case 1:
		t.Site.Node(node).Drain()
	case 2, 3:
		t.Site.Net.Break(site.Host(node), host)
	case 4:
		t.Site.Net.Break(site.Host(node), site.Host(other))
	case 5:
		t.Site.Net.Cut(site.Host(node), host)
		time.AfterFunc(lasts, func() { t.Site.Net.Heal(site.Host(node), host) })
	case 6:
		t.Site.Net.Cut(site.Host(node), site.Host(other))
		time.AfterFunc(lasts, func() { t.Site.Net.Heal(site.Host(node), site.Host(other)) })
	case 7:
		t.freeze(node, lasts)
	case 8:
		engine.Crash()
	case 9:
		service.CrashAfter(1)
	case 10:
		service.CutAnswers(1 + random.IntN(2))
	case 11:
		t.Site.DB.SetDown(true)
		time.AfterFunc(lasts, func() { t.Site.DB.SetDown(false) })
	case 12:
		t.Site.DB.LoseAnswers(1 + random.IntN(5))
	case 13:
		engine.FailLoads(1 + random.IntN(3))
	}
}

// freeze pauses a node as a paused virtual machine.
func (t *Trial) freeze(node int, lasts time.Duration) {
	if t.dead[node] {
		return
	}
	t.Site.Net.Freeze(site.Host(node))
	time.AfterFunc(lasts, func() { t.Site.Net.Thaw(site.Host(node)) })
}

// host returns the host of an upstream or of the callers.
func (t *Trial) host(random *rand.Rand) string {
	n := random.IntN(len(t.Site.Engines) + len(t.Site.Plains) + 1)
	switch {
	case n < len(t.Site.Engines):
		return site.EngineHost(n)
	case n < len(t.Site.Engines)+len(t.Site.Plains):
		return site.PlainHost(n - len(t.Site.Engines))
	}
	return site.CallerHost
}
