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

const session = "testdata/session.golden"

var update = flag.Bool("update", false, "write the present session to "+session)

// A whole session of one owner with the reasons an operator would read: cold and warm requests, a failed load,
// an eviction, a full queue, a hopeless deadline, a restart of the engine and the hand-over of the runner.
func TestSessionIsAsRecorded(t *testing.T) {
	tu := tune.Default()
	tu.Queue = 2
	s := booted(2, 2, tu)
	var log strings.Builder
	now := time.Duration(0)
	note := func(what string, orders []order.Order) {
		fmt.Fprintf(&log, "%6s %s\n", now, what)
		for _, o := range orders {
			fmt.Fprintf(&log, "       -> %s %s: %s\n", o.Kind, strings.TrimSpace(o.Attempt+" "+o.Model), o.Why)
		}
	}
	submit := func(attempt, adapter string) {
		c := ask(attempt, adapter)
		note("submit "+attempt+" for "+adapter, s.Submit(at(now), c))
	}
	submit("a1", "red")
	now += 300 * time.Millisecond
	note("loaded red", s.Loaded(at(now), "red@1", nil))
	submit("a2", "blue")
	note("load of blue fails", s.Loaded(at(now), "blue@1", errors.New("checksum")))
	now += 300 * time.Millisecond
	note("tick", s.Tick(at(now)))
	now += 300 * time.Millisecond
	note("loaded blue", s.Loaded(at(now), "blue@1", nil))
	now += 5 * time.Second
	note("finish a2", s.Finish(at(now), "a2", 200))
	submit("a3", "green")
	note("unloaded blue", s.Unloaded(at(now), "blue@1", nil))
	submit("a4", "red")
	submit("a5", "red")
	submit("a6", "red")
	late := ask("a7", "red")
	late.Deadline = at(now + time.Second)
	late.Tokens = 500
	note("submit a7 for red with a second left", s.Submit(at(now), late))
	note("report of a restart", s.Report(at(now), report.Report{Boot: "b2", Slots: 2, Batch: 2}))
	note("finish a1, cut", s.Finish(at(now), "a1", 3))
	note("finish a4, cut", s.Finish(at(now), "a4", 0))
	note("unloaded red", s.Unloaded(at(now), "red@1", nil))
	note("close", s.Close(at(now), "the runner was handed over"))
	if *update {
		if err := os.WriteFile(session, []byte(log.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(session)
	if err != nil {
		t.Fatal(err)
	}
	if got := log.String(); got != string(want) {
		t.Errorf("session: got\n%s\nwant\n%s", got, want)
	}
}
