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

// errNoAnswer is returned for requests to a host that is gone.
var errNoAnswer = errors.New("no answer")

// site consists of hosts that serve rows and one that fetches them.
type site struct {
	fetch.Fetch
	hosts  []mate.Mate
	depots map[string]*depot.Depot
	tamper func(host string, c *chunk.Chunk) error // changes or fails an answer
	asked  map[string]int
	bytes  int
}

// newSite returns a site whose hosts all have a value and its previous version.
func newSite(old, value []byte) *site {
	s := &site{depots: map[string]*depot.Depot{}, asked: map[string]int{}, tamper: func(string, *chunk.Chunk) error { return nil }}
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
			err = s.tamper(to.IP, &c)
		}
		if err == nil {
			s.bytes += len(c.Data)
		}
		return c, err
	}
	return s
}

// checkRows checks that the fetched row has the value.
func (s *site) checkRows(t *testing.T, value []byte) {
	t.Helper()
	list, rev, err := s.Rows(t.Context(), s.hosts, "op/", feed.Whole)
	if err != nil || rev != 12 || len(list) != 1 || !bytes.Equal(list[0].Value, value) {
		t.Fatalf("Rows = %d rows up to %d, %v, want the row up to 12", len(list), rev, err)
	}
}

// noise returns incompressible bytes.
func noise(seed uint64, size int) []byte {
	rng, b := rand.New(rand.NewPCG(seed, 1)), make([]byte, size)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// The host that sends a configuration fails halfway. Another host continues, and received chunks are not sent again.
func TestDownloadResumesAtAnotherHost(t *testing.T) {
	value := noise(1, 300<<10)
	s := newSite(noise(2, 100<<10), value)
	s.tamper = func(host string, c *chunk.Chunk) error {
		if host == "10.0.0.1" && c.Offset > 150<<10 {
			return errNoAnswer
		}
		return nil
	}
	s.checkRows(t, value)
	if limit := len(value) + len(value)/20; s.bytes > limit {
		t.Errorf("%d bytes were sent, want %d at most", s.bytes, limit)
	}
}

// A faulty host sends chunks that do not fit or do not match their digest. They must not be applied, and the next host is asked.
func TestInvalidAnswersAreRejected(t *testing.T) {
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
			s.tamper = func(host string, c *chunk.Chunk) error {
				if host == "10.0.0.1" {
					harm(c)
				}
				return nil
			}
			s.checkRows(t, value)
		})
	}
}

// A host whose old version no other host still has gets the full rows instead of a delta.
func TestHostWithoutCommonVersionGetsFullRows(t *testing.T) {
	value := noise(1, 100<<10)
	s := newSite(noise(2, 100<<10), value)
	s.Past = &past.Past{}
	s.Past.Add(rows.Row{Key: "op/config", Value: noise(3, 100<<10), Rev: 4})
	s.checkRows(t, value)
}

// The configuration keeps changing during a download. If each change restarted it, the host would never finish.
func TestFrequentChangesDoNotRestartDownload(t *testing.T) {
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

// All hosts of a relay request a configuration at once. If it served them all together, they would share its link and each
// would finish as late as the last.
func TestConcurrentDownloadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(noise(2, 100<<10), noise(1, 100<<10))
		d, maxActive, sum := s.depots["10.0.0.1"], 0, ""
		has := map[string]int{} // bytes received by each unfinished host
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
				maxActive = max(maxActive, download(has))
				if has[host] == c.Size {
					delete(has, host)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if maxActive > 4 {
			t.Errorf("%d hosts were given to at once, want 4 at most", maxActive)
		}
	})
}

// begun returns how many hosts have received some bytes.
func download(has map[string]int) (count int) {
	for _, bytes := range has {
		if bytes > 0 {
			count++
		}
	}
	return count
}

// A starting host downloads rows of several prefixes at once. Finishing one must not release its slot for the others: with many
// hosts starting together it would queue again for each chunk.
func TestFinishedDownloadKeepsSlotForOtherRows(t *testing.T) {
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
		first("10.1.0.9", "op/") // takes the free slot
		c, err := d.Answer("10.1.0.1", piece.Piece{Prefix: "op/", After: feed.Whole, Sum: long.Sum, Offset: len(long.Data)})
		if err != nil || c.WaitMS > 0 || c.Offset != len(long.Data) {
			t.Errorf("the next piece: wait %d ms, offset %d, %v, want none and %d", c.WaitMS, c.Offset, err, len(long.Data))
		}
	})
}
