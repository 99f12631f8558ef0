package sched_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/report"
	"damaskreach/internal/tune"
)

const goldenFile = "testdata/session.golden"

var update = flag.Bool("update", false, "write the present session to "+goldenFile)

// The reasons that an operator reads in a whole session of one owner: cold and warm requests, a failed load, an eviction, a full
// queue, a deadline that cannot be met, a restart of the engine and the handover of the runner.
func TestSessionMatchesGolden(t *testing.T) {
	tu := tune.Default()
	tu.Queue = 2
	s := newReported(2, 2, tu)
	var log strings.Builder
	now := time.Duration(0)
	record := func(what string, orders []order.Order) {
		fmt.Fprintf(&log, "%6s %s\n", now, what)
		for _, o := range orders {
			fmt.Fprintf(&log, "       -> %s %s: %s\n", o.Kind, strings.TrimSpace(o.Attempt+" "+o.Model), o.Why)
		}
	}
	submit := func(attempt, adapter string) {
		c := newCall(attempt, adapter)
		record("submit "+attempt+" for "+adapter, s.Submit(at(now), c))
	}
	submit("a1", "red")
	now += 300 * time.Millisecond
	record("loaded red", s.Loaded(at(now), "red@1", nil))
	submit("a2", "blue")
	record("load of blue fails", s.Loaded(at(now), "blue@1", errors.New("checksum")))
	now += 300 * time.Millisecond
	record("tick", s.Tick(at(now)))
	now += 300 * time.Millisecond
	record("loaded blue", s.Loaded(at(now), "blue@1", nil))
	now += 5 * time.Second
	record("finish a2", s.Finish(at(now), "a2", 200))
	submit("a3", "green")
	record("unloaded blue", s.Unloaded(at(now), "blue@1", nil))
	submit("a4", "red")
	submit("a5", "red")
	submit("a6", "red")
	late := newCall("a7", "red")
	late.Deadline = at(now + time.Second)
	late.Tokens = 500
	record("submit a7 for red with a second left", s.Submit(at(now), late))
	record("report of a restart", s.Report(at(now), report.Report{Boot: "b2", Slots: 2, Batch: 2}))
	record("finish a1, cut", s.Finish(at(now), "a1", 3))
	record("finish a4, cut", s.Finish(at(now), "a4", 0))
	record("unloaded red", s.Unloaded(at(now), "red@1", nil))
	record("close", s.Close(at(now), "the runner was handed over"))
	if *update {
		if err := os.WriteFile(goldenFile, []byte(log.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if got := log.String(); got != string(want) {
		t.Errorf("session: got\n%s\nwant\n%s", got, want)
	}
}
