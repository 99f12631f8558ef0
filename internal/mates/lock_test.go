package mates_test

import (
	"testing"
	"time"

	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/usage"
)

// Whoever knows the owner of an engine asks, under a lock of its own, whether a host is alive, while the roster asks for the owner under its lock. If each
// waits for the other, the host answers nobody any more.
func TestLivenessIsToldWhileTheRosterAsksForAnOwner(t *testing.T) {
	m := mates.NewMates(mate.Mate{IP: "a"})
	m.Roster = roster.NewRoster("a", func(string) string {
		m.IsAlive("b")
		return "b"
	})
	m.Roster.Report(status.Status{}, []usage.Usage{{Host: "a", Engine: "e", Running: 1}}, nil, time.Now())
	m.Attach, m.Observe = func(string, *gossip.Gossip) {}, func(gossip.Gossip) {}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		m.Answer(roster.NewRoster("b", func(string) string { return "" }).Request("a", false, time.Now()))
	}()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Error("no answer within 10s, want one at once")
	}
}
