// Package blame finds requests that crash their upstreams, by recording which upstreams broke off under which requests.
//
// Some requests crash every upstream that runs them, and callers and hosts retry them. Unrecorded, such a request takes
// down one upstream after the other, with all requests beside it; the symptom is upstreams that restart in turn. A
// request that merely ran beside the cause breaks off too, but seldom at three upstreams.
package blame

import (
	"strings"
	"sync"
	"time"

	"damaskreach/internal/block"
	"damaskreach/internal/ident"
	"damaskreach/internal/outbox"
	"damaskreach/internal/tally"
)

const (
	// minUpstreams is the number of upstreams that must have broken off under a request for it to be blocked.
	minUpstreams = 3
	// blockTime is how long a request is blocked at first. Callers may go on for hours; those that it was wrong for wait no longer.
	blockTime = 10 * time.Minute
	// maxBlocks bounds the blocks that are kept beyond this host.
	maxBlocks = 200
	// maxRecords bounds the records, some 200 bytes each. A loss of many upstreams breaks thousands of requests at once. maxSound bounds the
	// requests of the last seconds that ran well, some 100 bytes each.
	maxRecords, maxSound = 20000, 4000
	// kindWhole begins a report that a request ran well: "whole FINGERPRINT". That of a break is "FINGERPRINT UPSTREAM".
	kindWhole = "whole "
)

// Blame is safe for concurrent use.
type Blame struct {
	mu     sync.Mutex
	tally  *tally.Tally
	outbox outbox.Outbox // reports not yet sent to other hosts
}

// NewBlame returns a Blame without records.
func NewBlame() *Blame {
	return &Blame{tally: tally.NewTally(0, blockTime, maxRecords, maxSound)}
}

// RecordBreak records that an upstream broke off under a request at a time before now, and returns the number of upstreams that did so; 0 if the
// request has run well since.
func (b *Blame) RecordBreak(fingerprint, upstream string, broke, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tally.Sound(fingerprint, broke) {
		b.reportWhole(fingerprint, now)
		return 0
	}
	added := b.tally.Add(fingerprint, upstream, broke.UnixMilli(), now)
	upstreams := b.count(fingerprint, now)
	if added {
		b.outbox.Add(fingerprint+" "+upstream, upstreams > 1)
	}
	return upstreams
}

// count counts the upstreams that broke off under a request, and blocks it if there are enough.
func (b *Blame) count(fingerprint string, now time.Time) int {
	upstreams := b.tally.Count(fingerprint, now)
	if (upstreams >= minUpstreams || b.tally.OnTrial(fingerprint, now)) && !b.tally.Blocked(fingerprint, now) {
		b.tally.Block(fingerprint, now)
	}
	return upstreams
}

// Blocked reports whether a request must not be sent any more.
func (b *Blame) Blocked(fingerprint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tally.Blocked(fingerprint, now)
}

// OnTrial reports whether a request was blocked and may now show, by a single send, that it runs well.
func (b *Blame) OnTrial(fingerprint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tally.OnTrial(fingerprint, now)
}

// Blocks returns the requests that are blocked or on trial.
func (b *Blame) Blocks(now time.Time) map[string]block.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tally.Blocks(maxBlocks, now)
}

// Restore adds blocks that were begun before this host started or that another host knows.
func (b *Blame) Restore(blocks map[string]block.Block, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tally.Restore(blocks, now)
}

// RecordSound records that a request was answered completely: it was not the cause of breaks. It returns the number of upstreams that counted against it.
func (b *Blame) RecordSound(fingerprint string, now time.Time) (upstreams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if upstreams = b.tally.RecordSound(fingerprint, now); upstreams > 0 {
		b.reportWhole(fingerprint, now)
	}
	return upstreams
}

// reportWhole tells other hosts, which may count breaks against a request, that it runs well, unless they were just told.
func (b *Blame) reportWhole(fingerprint string, now time.Time) {
	if !b.tally.MayTell(fingerprint, now) {
		return
	}
	b.outbox.Remove(func(text string) bool { return strings.HasPrefix(text, fingerprint) })
	b.outbox.Add(kindWhole+fingerprint, true)
}

// TakePending returns and clears the reports of this host that were not sent to other hosts yet, as many as go into one message.
func (b *Blame) TakePending() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outbox.Take()
}

// AddReports applies reports of another host.
func (b *Blame) AddReports(list []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range list {
		if fingerprint, ok := strings.CutPrefix(text, kindWhole); ok {
			b.tally.HeardSound(fingerprint, now)
			continue
		}
		fingerprint, upstream, ok := parseBreak(text)
		switch {
		case !ok:
		case b.tally.Sound(fingerprint, now):
			b.reportWhole(fingerprint, now)
		default:
			b.tally.Add(fingerprint, upstream, now.UnixMilli(), now)
			b.count(fingerprint, now)
		}
	}
}

func parseBreak(text string) (fingerprint, upstream string, ok bool) {
	const end = ident.FingerprintLen
	if len(text) <= end+1 || text[end] != ' ' {
		return "", "", false
	}
	return text[:end], text[end+1:], true
}
