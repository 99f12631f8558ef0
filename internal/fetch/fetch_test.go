package fetch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/chunk"
	"damaskreach/internal/depot"
	"damaskreach/internal/feed"
	"damaskreach/internal/fetch"
	"damaskreach/internal/mate"
	"damaskreach/internal/past"
	"damaskreach/internal/piece"
	"damaskreach/internal/rows"
)

// errGone is what asking a host that is gone brings.
var errGone = errors.New("no answer")

// site is hosts that give rows and one that asks for them.
type site struct {
	fetch.Fetch
	hosts  []mate.Mate
	depots map[string]*depot.Depot
	harm   func(host string, c *chunk.Chunk) error // what becomes of an answer
	asked  map[string]int
	bytes  int
}

// newSite returns a site whose hosts all know a value, and the old one before it.
func newSite(old, value []byte) *site {
	s := &site{depots: map[string]*depot.Depot{}, asked: map[string]int{}, harm: func(string, *chunk.Chunk) error { return nil }}
	s.Past, s.Log = &past.Past{}, zap.NewNop()
	s.Past.Add(rows.Row{Key: "op/config", Value: old, Rev: 5})
	for n := range 3 {
		ip := fmt.Sprint("10.0.0.", n+1)
		d := &depot.Depot{Past: &past.Past{}, Rows: func(string, int64) ([]rows.Row, int64, bool) {
			return []rows.Row{{Key: "op/config", Value: value, Rev: 9}}, 12, true
		}}
		d.Past.Add(rows.Row{Key: "op/config", Value: old, Rev: 5})
		s.hosts, s.depots[ip] = append(s.hosts, mate.Mate{IP: ip}), d
	}
	s.Ask = func(_ context.Context, to mate.Mate, q piece.Piece) (chunk.Chunk, error) {
		s.asked[to.IP]++
		c, err := s.depots[to.IP].Answer("10.0.0.9", q)
		if err == nil {
			err = s.harm(to.IP, &c)
		}
		if err == nil {
			s.bytes += len(c.Data)
		}
		return c, err
	}
	return s
}

// want checks that the rows are got as they are.
func (s *site) want(t *testing.T, value []byte) {
	t.Helper()
	list, rev, err := s.Rows(t.Context(), s.hosts, "op/", feed.Whole)
	if err != nil || rev != 12 || len(list) != 1 || !bytes.Equal(list[0].Value, value) {
		t.Fatalf("Rows = %d rows up to %d, %v, want the row up to 12", len(list), rev, err)
	}
}

// noise returns bytes that do not compress.
func noise(seed uint64, size int) []byte {
	luck, b := rand.New(rand.NewPCG(seed, 1)), make([]byte, size)
	for i := range b {
		b[i] = byte(luck.Uint32())
	}
	return b
}

// The host that gives a configuration is lost in the middle of it. What has come is not sent again: another host goes on from there.
func TestAnotherHostGoesOnWhereTheFirstOneStopped(t *testing.T) {
	value := noise(1, 300<<10)
	s := newSite(noise(2, 100<<10), value)
	s.harm = func(host string, c *chunk.Chunk) error {
		if host == "10.0.0.1" && c.Offset > 150<<10 {
			return errGone
		}
		return nil
	}
	s.want(t, value)
	if most := len(value) + len(value)/20; s.bytes > most {
		t.Errorf("%d bytes were sent, want %d at most", s.bytes, most)
	}
}

// A broken host sends pieces that do not fit together, or other bytes than it says. None of it may be in force, and the next host is asked.
func TestBrokenHostIsPassedOver(t *testing.T) {
	value := noise(1, 100<<10)
	for name, harm := range map[string]func(c *chunk.Chunk){
		"bytes changed":   func(c *chunk.Chunk) { c.Data = append([]byte(nil), c.Data...); c.Data[len(c.Data)/2] ^= 1 },
		"a hole":          func(c *chunk.Chunk) { c.Offset += 3 },
		"nothing":         func(c *chunk.Chunk) { c.Data = nil },
		"more than whole": func(c *chunk.Chunk) { c.Size = 10 },
		"endless":         func(c *chunk.Chunk) { c.Size = 1 << 40 },
		"unknown base":    func(c *chunk.Chunk) { c.Base = 77 },
		"another digest":  func(c *chunk.Chunk) { c.Sum = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(noise(2, 100<<10), value)
			s.harm = func(host string, c *chunk.Chunk) error {
				if host == "10.0.0.1" {
					harm(c)
				}
				return nil
			}
			s.want(t, value)
		})
	}
}

// A host has an old version that no other one has any more. It gets the whole.
func TestHostWithoutACommonVersionGetsTheWhole(t *testing.T) {
	value := noise(1, 100<<10)
	s := newSite(noise(2, 100<<10), value)
	s.Past = &past.Past{}
	s.Past.Add(rows.Row{Key: "op/config", Value: noise(3, 100<<10), Rev: 4})
	s.want(t, value)
}

// The configuration changes again and again while a host gets it. Were each change to begin anew, the host would never have one.
func TestChangesDoNotKeepAHostFromHavingAny(t *testing.T) {
	s := newSite(noise(2, 100<<10), nil)
	first, rev := noise(1, 200<<10), int64(12)
	for _, d := range s.depots {
		d.Rows = func(string, int64) ([]rows.Row, int64, bool) {
			rev++
			return []rows.Row{{Key: "op/config", Value: append(noise(uint64(rev), 10), first...), Rev: rev}}, rev, true
		}
	}
	if _, got, err := s.Rows(t.Context(), s.hosts, "op/", feed.Whole); err != nil || got != 13 {
		t.Errorf("Rows up to %d, %v, want 13", got, err)
	}
}

// All hosts of a relay ask for a configuration at once. Were it given to all of them at the same time, its link would be taken for as long as all of
// them need, and each would have it as late as the last one.
func TestFewHostsAreGivenToAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(noise(2, 100<<10), noise(1, 100<<10))
		d, most, sum := s.depots["10.0.0.1"], 0, ""
		has := map[string]int{} // bytes at each host that has not got all
		for n := range 30 {
			has[fmt.Sprint("10.1.0.", n)] = 0
		}
		for len(has) > 0 {
			for host, offset := range has {
				q := piece.Piece{Prefix: "op/", After: feed.Whole, Offset: offset}
				if offset > 0 {
					q.Sum = sum
				}
				c, err := d.Answer(host, q)
				if err != nil {
					t.Fatalf("Answer = %v, want nil", err)
				}
				if c.Size == 0 {
					continue
				}
				sum = c.Sum
				has[host] += len(c.Data)
				most = max(most, begun(has))
				if has[host] == c.Size {
					delete(has, host)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if most > 4 {
			t.Errorf("%d hosts were given to at once, want 4 at most", most)
		}
	})
}

// begun returns how many hosts have got something.
func begun(has map[string]int) (count int) {
	for _, bytes := range has {
		if bytes > 0 {
			count++
		}
	}
	return count
}

// A host that starts asks for rows of several kinds at once. When it has all of one kind, it must not lose its turn for the others: with many hosts that
// start together it would wait anew for each piece.
func TestRowsOfOneKindDoNotEndTheTurnOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(noise(2, 100<<10), noise(1, 100<<10))
		d := s.depots["10.0.0.1"]
		first := func(host, prefix string) chunk.Chunk {
			c, err := d.Answer(host, piece.Piece{Prefix: prefix, After: feed.Whole})
			if err != nil {
				t.Fatalf("Answer = %v, want nil", err)
			}
			return c
		}
		long := first("10.1.0.1", "op/")
		for n := range 3 {
			first(fmt.Sprint("10.1.1.", n), "op/")
		}
		d.Rows = func(string, int64) ([]rows.Row, int64, bool) { return []rows.Row{{Key: "up/a", Rev: 9}}, 12, true }
		first("10.1.0.1", "up/")
		first("10.1.0.9", "op/") // takes what is free
		c, err := d.Answer("10.1.0.1", piece.Piece{Prefix: "op/", After: feed.Whole, Sum: long.Sum, Offset: len(long.Data)})
		if err != nil || c.WaitMS > 0 || c.Offset != len(long.Data) {
			t.Errorf("the next piece: wait %d ms, offset %d, %v, want none and %d", c.WaitMS, c.Offset, err, len(long.Data))
		}
	})
}
