// Package blame finds requests that crash their upstreams, by recording which upstreams broke off under which requests.
//
// Some requests crash every upstream that runs them, and callers and hosts retry them. Unrecorded, such a request takes
// down one upstream after the other, with all requests beside it; the symptom is upstreams that restart in turn. A
// request that merely ran beside the cause breaks off too, but seldom at three upstreams.
//
// A caller's requests may come from several addresses, or with another query each, so that no one is known to crash three. So breaks also count against what they
// have in common, their wide fingerprint: for less, as it may stand for requests of many callers. Upstreams that break off together count once, those under one
// of the requests alone do not matter, and the first good answer to any of them takes all back. What ran well before counts neither for nor against the others
// (package proven).
//
// Where others with its fingerprint run well, breaks are taken back before there are enough. So the ends of upstreams are also weighed (package chance): a request is blocked, though some
// like it run well, where it was at hand at more of them than chance explains.
package blame

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damaskreach/internal/alias"
	"damaskreach/internal/block"
	"damaskreach/internal/chance"
	"damaskreach/internal/ident"
	"damaskreach/internal/outbox"
	"damaskreach/internal/proven"
	"damaskreach/internal/recent"
	"damaskreach/internal/tally"
)

const (
	// minUpstreams is the number of upstreams that must have broken off under a request for it to be blocked.
	minUpstreams = 3
	// breakWeight is what an upstream counts that broke off under a request, and behindWeight one that ended just behind its answer, which many are at hand at: four of
	// these are needed.
	breakWeight, behindWeight = 4, 3
	// blockTime is how long a request is blocked at first. Callers may go on for hours; those that it was wrong for wait no longer.
	blockTime = 10 * time.Minute
	// crashInterval is within which breaks under requests with one wide fingerprint count once: upstreams that end together have another cause.
	crashInterval = time.Second
	// maxBlocks bounds the blocks that are kept beyond this host.
	maxBlocks = 200
	// maxRecords bounds the records, some 200 bytes each. A loss of many upstreams breaks thousands of requests at once. maxSound bounds the
	// requests of the last seconds that ran well, some 100 bytes each.
	maxRecords, maxSound = 20000, 4000
	// kindWhole begins a report that a request ran well: "whole FINGERPRINT", and its wide fingerprint. That of a break is "FINGERPRINT UPSTREAM", and the wide fingerprint unless requests
	// with it run well.
	kindWhole = "whole "
	// behindMark ends the name of an upstream that ended behind the answer to a request.
	behindMark = "+"
	// barTime is how long good answers do not take back a block for the presence at ends: as long as such ends count.
	barTime = 2 * time.Minute
	// askInterval is the shortest time between two questions whether a request ran well elsewhere, and maxAsked bounds those that are kept for it, some 100 bytes each.
	askInterval = 2 * time.Second
	maxAsked    = 1000
)

// Blame is safe for concurrent use.
type Blame struct {
	// Host is what other hosts know this one by. It is set before use.
	Host string

	mu     sync.Mutex
	tally  *tally.Tally  // by fingerprint
	wide   *tally.Tally  // by wide fingerprint; breaks are "FINGERPRINT UPSTREAM"
	outbox outbox.Outbox // reports not yet sent to other hosts
	alias  *alias.Alias
	chance *chance.Chance
	proven *proven.Proven
	asked  *recent.Recent[string, time.Time] // when other hosts were last asked what, or answered
	barred map[string]time.Time              // when requests were last blocked for their presence at ends
}

// NewBlame returns a Blame without records.
func NewBlame() *Blame {
	return &Blame{
		alias:  alias.NewAlias(),
		chance: chance.NewChance(),
		barred: map[string]time.Time{},
		proven: proven.NewProven(),
		asked:  recent.NewRecent[string, time.Time](askInterval, maxAsked),
		tally:  tally.NewTally(0, blockTime, maxRecords, maxSound),
		wide:   tally.NewTally(crashInterval, blockTime, maxRecords, maxSound),
	}
}

// of returns the tally that a fingerprint is in.
func (b *Blame) of(fingerprint string) *tally.Tally {
	if ident.IsWide(fingerprint) {
		return b.wide
	}
	return b.tally
}

// RecordBreak records that an upstream broke off under a request at a time before now, and returns the number of upstreams that did so; 0 if the
// request has run well since. wide is the number that counts against its wide fingerprint.
func (b *Blame) RecordBreak(i ident.Ident, upstream string, broke, now time.Time) (upstreams, wide int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream = b.alias.Name(upstream, now)
	_, upstreams, wide = b.addOwn(i, upstream, broke, now)
	return upstreams, wide
}

// addOwn counts a break that this host saw, and tells other hosts of it unless it was known.
func (b *Blame) addOwn(i ident.Ident, upstream string, broke, now time.Time) (added bool, upstreams, wide int) {
	added, upstreams, wide = b.add(i, upstream, broke, now)
	if !added {
		return false, upstreams, wide
	}
	text := i.Fingerprint + " " + upstream
	if wide > 0 {
		text += " " + i.Wide
	}
	b.outbox.Add(text, max(upstreams, wide) > 1)
	return true, upstreams, wide
}

// add counts a break against a request and what it has in common with others, unless they have run well since. It reports whether the break was not known, and the
// numbers of upstreams that count then; 0 where none does.
func (b *Blame) add(i ident.Ident, upstream string, broke, now time.Time) (added bool, upstreams, wide int) {
	if b.tally.Sound(i.Fingerprint, broke) {
		b.reportWhole(ident.Ident{Fingerprint: i.Fingerprint}, now)
		return false, 0, 0
	}
	added = b.tally.Add(i.Fingerprint, upstream, broke.UnixMilli(), now)
	upstreams = b.count(i.Fingerprint, now)
	if i = b.unproven(i, broke); i.Wide != "" && !b.wide.Sound(i.Wide, broke) {
		b.wide.Add(i.Wide, i.Fingerprint+" "+upstream, broke.UnixMilli(), now)
		wide = b.count(i.Wide, now)
	}
	return added, upstreams, wide
}

// count counts the upstreams that broke off under a request, and blocks it if there are enough.
func (b *Blame) count(fingerprint string, now time.Time) int {
	t := b.of(fingerprint)
	upstreams := t.Count(fingerprint, now)
	enough := b.weighEnough(t, fingerprint, now) && (t != b.wide || b.several(fingerprint, now))
	if (enough || t.OnTrial(fingerprint, now)) && !t.Blocked(fingerprint, now) {
		if t == b.wide {
			b.tellRan(fingerprint)
		}
		t.Block(fingerprint, now)
	}
	return upstreams
}

// weighEnough reports whether the upstreams that broke off under a request or ended behind its answers are enough for it to be blocked.
func (b *Blame) weighEnough(t *tally.Tally, fingerprint string, now time.Time) bool {
	behind := 0
	for _, upstream := range t.Upstreams(fingerprint, now) {
		if strings.HasSuffix(upstream, behindMark) {
			behind++
		}
	}
	count := t.Count(fingerprint, now)
	behind = min(behind, count)
	return breakWeight*(count-behind)+behindWeight*behind >= breakWeight*minUpstreams
}

// several reports whether upstreams broke off under more than one of the requests with a wide fingerprint.
func (b *Blame) several(wide string, now time.Time) bool {
	first := ""
	for _, text := range b.wide.Upstreams(wide, now) {
		fingerprint, _, _ := strings.Cut(text, " ")
		if first != "" && fingerprint != first {
			return true
		}
		first = fingerprint
	}
	return false
}

// Blocked reports whether a request must not be sent any more.
func (b *Blame) Blocked(fingerprint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(fingerprint).Blocked(fingerprint, now)
}

// OnTrial reports whether a request was blocked and may now show, by a single send, that it runs well.
func (b *Blame) OnTrial(fingerprint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(fingerprint).OnTrial(fingerprint, now)
}

// Suspected reports whether upstreams broke off under others like a request that is not known to run well. Where one has broken off under it too, it is not to
// take down a further one.
func (b *Blame) Suspected(i ident.Ident, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.proven.Has(i.Fingerprint) && slices.ContainsFunc(b.wide.Upstreams(i.Wide, now), func(text string) bool {
		return !strings.HasPrefix(text, i.Fingerprint)
	})
}

// Blocks returns the requests that are blocked or on trial.
func (b *Blame) Blocks(now time.Time) map[string]block.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	blocks := b.tally.Blocks(maxBlocks, now)
	maps.Copy(blocks, b.wide.Blocks(maxBlocks, now))
	return blocks
}

// Restore adds blocks that were begun before this host started or that another host knows.
func (b *Blame) Restore(blocks map[string]block.Block, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for fingerprint, known := range blocks {
		b.of(fingerprint).Restore(map[string]block.Block{fingerprint: known}, now)
	}
}

// RecordSound records that a request was answered completely: it was not the cause of breaks. What it has in common with others is cleared by its first good answer
// alone: later ones tell nothing of requests that have not run well yet. It returns the number of upstreams that counted against it and against its wide fingerprint.
func (b *Blame) RecordSound(i ident.Ident, now time.Time) (upstreams, wide int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newcomer := !b.proven.Has(i.Fingerprint)
	b.proven.Add(i, now)
	if !newcomer || b.isBarred(i.Wide, now) {
		i.Wide = ""
	}
	if !b.isBarred(i.Fingerprint, now) {
		upstreams = b.tally.RecordSound(i.Fingerprint, now)
	}
	if i.Wide != "" {
		wide = b.wide.RecordSound(i.Wide, now)
	}
	if upstreams > 0 || wide > 0 {
		b.reportWhole(i, now)
	}
	return upstreams, wide
}

// reportWhole tells other hosts, which may count breaks against a request, that it runs well, unless they were just told.
func (b *Blame) reportWhole(i ident.Ident, now time.Time) {
	told := []string{}
	for _, fingerprint := range []string{i.Fingerprint, i.Wide} {
		if fingerprint != "" && b.of(fingerprint).MayTell(fingerprint, now) {
			told = append(told, fingerprint)
		}
	}
	if len(told) == 0 {
		return
	}
	b.outbox.Remove(func(text string) bool { return strings.HasPrefix(text, i.Fingerprint) && i.Fingerprint != "" })
	b.outbox.Add(kindWhole+strings.Join(told, " "), true)
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
		if told, ok := strings.CutPrefix(text, kindWhole); ok {
			for fingerprint := range strings.SplitSeq(told, " ") {
				if !b.isBarred(fingerprint, now) {
					b.of(fingerprint).HeardSound(fingerprint, now)
				}
			}
			continue
		}
		if b.addEvidence(text, now) {
			continue
		}
		i, upstream, ok := parseBreak(text)
		if !ok {
			continue
		}
		name, behind := strings.CutSuffix(upstream, behindMark)
		if upstream = b.alias.Name(name, now); behind {
			upstream += behindMark
		}
		if _, upstreams, _ := b.add(i, upstream, now, now); upstreams > 0 && i.Wide != "" && b.wide.Sound(i.Wide, now) {
			b.reportWhole(ident.Ident{Wide: i.Wide}, now)
		}
	}
}

// parseBreak returns the fingerprints and the upstream of a report.
func parseBreak(text string) (i ident.Ident, upstream string, ok bool) {
	fingerprint, rest, _ := strings.Cut(text, " ")
	upstream, wide, named := strings.Cut(rest, " ")
	if len(fingerprint) != ident.FingerprintLen || upstream == "" || named && len(wide) != ident.FingerprintLen {
		return ident.Ident{}, "", false
	}
	return ident.Ident{Fingerprint: fingerprint, Wide: wide}, upstream, true
}
