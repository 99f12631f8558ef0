package intake_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/target"
)

// manyRegs returns more registrations than a host reads from the store at its start.
func manyRegs() []rows.Row {
	var list []rows.Row
	for n := range 400 {
		list = append(list, reg(fmt.Sprint("u", n)))
	}
	return list
}

// Hundreds of hosts start at once on a site with thousands of upstreams. If each listed the store, its links would be full for seconds;
// a host that gets all rows from another one must not list them.
func TestStartingHostFetchesRegistrationsFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": manyRegs()}}
		ready := false // under the lock of s
		i := start(t, s, func(i *intake.Intake) {
			i.ListDelay = func() time.Duration { return 3 * time.Second }
			i.ReadDelegated = func() bool { return true }
			i.FetchFromHost = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.rows[prefix], 7, ready
			}
		})
		time.Sleep(time.Second)
		if got := len(i.View().Targets); got != 0 {
			t.Errorf("upstreams = %d before another host answered, want none", got)
		}
		s.update(func() { ready, s.calls = true, 0 })
		time.Sleep(200 * time.Millisecond)
		if got, want := len(i.View().Targets), 400; got != want {
			t.Errorf("upstreams = %d, want %d", got, want)
		}
		s.update(func() {
			if s.calls > 0 {
				t.Errorf("%d calls to the store, want none", s.calls)
			}
		})
		if list, rev := i.Registrations(); len(list) != 400 || rev != 7 {
			t.Errorf("%d registrations at %d, want 400 at 7", len(list), rev)
		}
	})
}

// No host answers a starting host: its relays are down, or know nothing yet. It must list the store after a while, or it would refuse its
// callers forever.
func TestStartingHostListsStoreWhenNoHostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": manyRegs()}}
		i := start(t, s, func(i *intake.Intake) { i.ListDelay = func() time.Duration { return 3 * time.Second } })
		time.Sleep(3500 * time.Millisecond)
		if got, want := len(i.View().Targets), 400; got != want {
			t.Errorf("upstreams = %d after 3.5 s, want %d", got, want)
		}
	})
}

// The store compacts its history, and the host that reads for others lists an unchanged configuration. Reported as new, other hosts would
// wait for a change that does not exist, and stop relying on any reader.
func TestListOfUnchangedConfigurationKeepsMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}, Rev: 1}}, "up/": {reg("a")}}}
		i := start(t, s)
		time.Sleep(2500 * time.Millisecond)
		before, _ := i.Marks()
		s.update(func() { s.compacted = true })
		time.Sleep(4 * time.Second)
		after, _ := i.Marks()
		if before.Conf == 0 || after.Conf != before.Conf {
			t.Errorf("mark of the configuration = %d after %d, want the same", after.Conf, before.Conf)
		}
	})
}

// Upstreams rewrite the same registration again and again. Decoding thousands each time would take all of a small host's processor time;
// a changed one must still be decoded.
func TestUnchangedRegistrationIsDecodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		var decoded atomic.Int64
		i := start(t, s, func(i *intake.Intake) {
			decode := i.Target
			i.Target = func(row rows.Row) (target.Target, error) {
				decoded.Add(1)
				return decode(row)
			}
		})
		time.Sleep(5500 * time.Millisecond)
		if got, want := decoded.Load(), int64(2); got != want {
			t.Errorf("decoded %d times, want %d", got, want)
		}
		s.update(func() { s.rows["up/"] = []rows.Row{{Key: "up/a", Value: []byte("\xff")}, reg("b")} })
		time.Sleep(1500 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone: a is no longer readable", i.View().Targets)
		}
	})
}

// The store is restored from a backup, and a host starts before operators have repeated the lost changes. From the backup alone it would
// serve routes and keys that were removed; other hosts still have the newer configuration.
func TestStartingHostAppliesConfigurationOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}, Rev: rows.NewRev(1, 1)}}, "up/": {reg("a")}},
			rev: rows.NewRev(1, 1)}
		ready := false // under the lock of s
		asked := 0
		i := start(t, s, func(i *intake.Intake) {
			i.FetchFromHost = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				if prefix == "op/" && ready {
					asked++
				}
				return []rows.Row{{Key: "op/config", Value: []byte{9}, Rev: 5}}, rows.NewRev(1, 1), prefix == "op/" && ready
			}
		})
		time.Sleep(time.Second)
		if got, want := i.View().Rules.Version, int64(7); got != want {
			t.Errorf("version = %d before other hosts answer, want %d from the store", got, want)
		}
		s.update(func() { ready = true })
		time.Sleep(time.Second)
		if got, want := i.View().Rules.Version, int64(9); got != want {
			t.Errorf("version = %d, want %d as on other hosts", got, want)
		}
		if list, _ := i.OperatorRows(); len(list) != 1 || list[0].Value[0] != 9 {
			t.Errorf("operators' rows = %v, want version 9 alone", list)
		}
		time.Sleep(10 * time.Second)
		s.update(func() {
			if asked != 1 {
				t.Errorf("%d answers from other hosts, want one", asked)
			}
		})
	})
}

// Operators have written a version again, and another host sends its older row of it. A starting host must keep the store's later row.
func TestStartingHostPrefersStoreRowOfSameVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7, 2}, Rev: 1}}, "up/": {reg("a")}}}
		i := start(t, s, func(i *intake.Intake) {
			i.Rules = func(row rows.Row) (rules.Rules, bool, error) {
				return rules.Rules{Version: int64(row.Value[0]), MaxHeader: int(row.Value[1])}, true, nil
			}
			i.FetchFromHost = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
				return []rows.Row{{Key: "op/config", Value: []byte{7, 1}, Rev: 1}}, 1, prefix == "op/"
			}
		})
		time.Sleep(500 * time.Millisecond) // the fake store returns all rows again a second later
		if got, want := i.View().Rules.MaxHeader, 2; got != want {
			t.Errorf("MaxHeader = %d, want %d as in the store", got, want)
		}
	})
}
