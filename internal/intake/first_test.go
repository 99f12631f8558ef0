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

// many returns more registrations than a host reads at its start.
func many() []rows.Row {
	var list []rows.Row
	for n := range 400 {
		list = append(list, reg(fmt.Sprint("u", n)))
	}
	return list
}

// Hundreds of hosts start at once on a site with thousands of upstreams. Each would have the store send its whole list, over links that take
// seconds for it; a host that is told all rows by another one must not ask for them.
func TestHostThatStartsTakesAllFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": many()}}
		ready := false // under the lock of s
		i := start(t, s, func(i *intake.Intake) {
			i.Patience = func() time.Duration { return 3 * time.Second }
			i.Relaxed = func() bool { return true }
			i.Others = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.rows[prefix], 7, ready
			}
		})
		time.Sleep(time.Second)
		if got := len(i.View().Targets); got != 0 {
			t.Errorf("upstreams = %d before another host told them, want none", got)
		}
		s.set(func() { ready, s.asks = true, 0 })
		time.Sleep(200 * time.Millisecond)
		if got, want := len(i.View().Targets), 400; got != want {
			t.Errorf("upstreams = %d, want %d", got, want)
		}
		s.set(func() {
			if s.asks > 0 {
				t.Errorf("asked the store %d times, want never", s.asks)
			}
		})
		if list, rev := i.Registrations(); len(list) != 400 || rev != 7 {
			t.Errorf("tells others %d rows at %d, want 400 at 7", len(list), rev)
		}
	})
}

// Nobody tells a host that starts: its relays died with the others, or know nothing yet. It reads for itself after a while, or it would refuse
// its callers for ever.
func TestHostThatNobodyTellsReadsForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": many()}}
		i := start(t, s, func(i *intake.Intake) { i.Patience = func() time.Duration { return 3 * time.Second } })
		time.Sleep(3500 * time.Millisecond)
		if got, want := len(i.View().Targets), 400; got != want {
			t.Errorf("upstreams = %d after 3.5 s, want %d", got, want)
		}
	})
}

// The store forgets its history, and the host that reads for others lists the configuration. Nothing has changed; were it told as new, others
// would wait for a change that they cannot find, and rely on nobody meanwhile.
func TestListOfAnUnchangedConfigurationIsNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}, Rev: 1}}, "up/": {reg("a")}}}
		i := start(t, s)
		time.Sleep(2500 * time.Millisecond)
		before, _ := i.Marks()
		s.set(func() { s.gone = true })
		time.Sleep(4 * time.Second)
		after, _ := i.Marks()
		if before.Conf == 0 || after.Conf != before.Conf {
			t.Errorf("mark of the configuration = %d after %d, want the same", after.Conf, before.Conf)
		}
	})
}

// Upstreams register again and again with the same words. Decoded each time, thousands of them would take a small host's whole processor time;
// one that says something else must be taken all the same.
func TestUnchangedRegistrationIsDecodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
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
		s.set(func() { s.rows["up/"] = []rows.Row{{Key: "up/a", Value: []byte("\xff")}, reg("b")} })
		time.Sleep(1500 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone: the other cannot be read any more", i.View().Targets)
		}
	})
}

// The store comes back from a copy, and a host starts before operators have written again what is lost. All other hosts have the newer configuration in
// force; by the copy alone, this one would serve routes and keys that were taken away.
func TestHostThatStartsTakesTheConfigurationInForceFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}, Rev: rows.NewRev(1, 1)}}, "up/": {reg("a")}}, rev: rows.NewRev(1, 1)}
		ready := false // under the lock of s
		asked := 0
		i := start(t, s, func(i *intake.Intake) {
			i.Others = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
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
			t.Errorf("version = %d before others can be asked, want %d from the store", got, want)
		}
		s.set(func() { ready = true })
		time.Sleep(time.Second)
		if got, want := i.View().Rules.Version, int64(9); got != want {
			t.Errorf("version = %d, want %d as others have it", got, want)
		}
		if list, _ := i.Operators(); len(list) != 1 || list[0].Value[0] != 9 {
			t.Errorf("tells others %v, want version 9 alone", list)
		}
		time.Sleep(10 * time.Second)
		s.set(func() {
			if asked != 1 {
				t.Errorf("others were asked %d times, want once", asked)
			}
		})
	})
}

// Operators have written a version again before another host tells its own row of it. The store's is the later one, and a host that starts must keep it.
func TestHostThatStartsKeepsTheStoresRowOfAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7, 2}, Rev: 1}}, "up/": {reg("a")}}}
		i := start(t, s, func(i *intake.Intake) {
			i.Rules = func(row rows.Row) (rules.Rules, bool, error) {
				return rules.Rules{Version: int64(row.Value[0]), MaxHeader: int(row.Value[1])}, true, nil
			}
			i.Others = func(_ context.Context, prefix string) ([]rows.Row, int64, bool) {
				return []rows.Row{{Key: "op/config", Value: []byte{7, 1}, Rev: 1}}, 1, prefix == "op/"
			}
		})
		time.Sleep(500 * time.Millisecond) // the stand-in tells all rows again a second later
		if got, want := i.View().Rules.MaxHeader, 2; got != want {
			t.Errorf("limit of headers = %d, want %d as the store has it", got, want)
		}
	})
}
