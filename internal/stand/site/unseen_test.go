//go:build !race

package site_test

import (
	"testing"

	"damaskreach/internal/host"
	"damaskreach/internal/stand/site"
)

// The owner of a runner dies, the host list goes on calling it live, and nobody asks for what is resident there. The
// engine would refuse the dead owner from the moment it has seen the successor's fence, but nothing brings the fence to
// it: starts and orders do, and the only request needs an unload first, which waits for the engine to have seen the
// fence. The caller of a rarely used adapter would wait until it gives up.
func TestSuccessorShowsItsFenceToAnIdleEngine(t *testing.T) {
	play(t, 2, 1, true, func(w *world) {
		w.Hosts.Set(host.Host{Addr: site.Host(0), State: host.Live})
		w.Hosts.Set(host.Host{Addr: site.Host(1), State: host.Live})
		w.serves("before", 0, 1) // both slots are taken by the last adapters asked for
		owner := w.owners("before", 0, 1)[site.RunnerName(0)]
		w.KillNode(owner)
		w.pass(lapse)
		w.serves("after the death", 1-owner)
		w.StartNode(w.ctx, owner)
	})
}
