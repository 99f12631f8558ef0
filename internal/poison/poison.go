// Package poison finds parts of prompts that crash the engines that run them.
//
// No two of the requests with such a part need be alike, so that each by itself looks harmless. Unless the part is found, engines crash one after
// the other with everything that runs there; the symptom is engines that restart in turn.
package poison

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"damaskreach/internal/block"
	"damaskreach/internal/outbox"
	"damaskreach/internal/tally"
)

const (
	// minCrashes is how often engines must have crashed under a part for it to be blocked.
	minCrashes = 3
	// suspectCrashes is the number from which requests with the part are not sent a second time.
	suspectCrashes = 2
	// crashInterval is the time within which crashes of several engines count once: engines that crash together have another cause.
	crashInterval = 150 * time.Millisecond
	// blockTime is how long a part is blocked at first.
	blockTime = 10 * time.Minute
	// maxBlocks bounds the blocks that are kept beyond this host.
	maxBlocks = 200
	// maxRecords bounds the parts with crashes, and maxSound those that ran well in the last seconds, some 100 bytes each.
	maxRecords, maxSound = 5000, 10000
)

// Kinds of reports between hosts: "crash ENGINE TIME PART,PART", with the Unix time in ms, and "sound PART".
const (
	kindCrash = "crash "
	kindSound = "sound "
)

// Poison may be used from several goroutines.
type Poison struct {
	mu     sync.Mutex
	tally  *tally.Tally
	outbox outbox.Outbox // reports not yet sent to other hosts
}

// NewPoison returns a Poison that knows no part.
func NewPoison() *Poison {
	return &Poison{tally: tally.NewTally(crashInterval, blockTime, maxRecords, maxSound)}
}

// RecordCrash records that an engine crashed while it began to run a request, given the shared parts of its prompt in order. It returns the part
// that is blocked from now on, empty if none is.
func (p *Poison) RecordCrash(parts []string, engine string, now time.Time) (blocked string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added, blocked := p.addCrash(parts, engine, now.UnixMilli(), now)
	if len(added) > 0 {
		p.outbox.Add(fmt.Sprint(kindCrash, engine, " ", now.UnixMilli(), " ", strings.Join(added, ",")), true)
	}
	return blocked
}

// addCrash counts a crash against those parts of a prompt that did not run well here just now, and returns them if it was not known yet.
func (p *Poison) addCrash(parts []string, engine string, at int64, now time.Time) (added []string, blocked string) {
	known := true
	for _, part := range parts {
		if p.tally.Sound(part, now) {
			p.reportSound(part, now)
			continue
		}
		known = !p.tally.Add(part, engine, at, now) && known
		added = append(added, part)
	}
	if known {
		return nil, ""
	}
	return added, p.blockDeepest(added, now)
}

// blockDeepest blocks the last of a prompt's parts under which enough engines have crashed, which explains the crashes under the others: parts
// before it are in many other prompts too.
func (p *Poison) blockDeepest(parts []string, now time.Time) (blocked string) {
	at := len(parts) - 1
	for at >= 0 && p.tally.Count(parts[at], now) < minCrashes && !p.tally.OnTrial(parts[at], now) {
		at--
	}
	if at < 0 || p.tally.Blocked(parts[at], now) {
		return ""
	}
	blocked = parts[at]
	for _, part := range parts {
		if !p.tally.Blocked(part, now) && part != blocked {
			p.tally.Forget(part)
		}
	}
	p.tally.Block(blocked, now)
	return blocked
}

// RecordSound records that a request ran well, given the shared parts of its prompt: none of them crashes engines.
func (p *Poison) RecordSound(parts []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if p.tally.RecordSound(part, now) > 0 {
			p.reportSound(part, now)
		}
	}
}

// reportSound tells other hosts, which may count crashes against a part, that it is sound, unless they were just told.
func (p *Poison) reportSound(part string, now time.Time) {
	if p.tally.MayTell(part, now) {
		p.outbox.Add(kindSound+part, true)
	}
}

// TakePending returns and clears the reports that were not sent to other hosts yet, as many as go into one message.
func (p *Poison) TakePending() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outbox.Take()
}

// AddReports applies reports of other hosts. It returns the parts that are blocked from now on.
func (p *Poison) AddReports(list []string, now time.Time) (blocked []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range list {
		if part, ok := strings.CutPrefix(text, kindSound); ok {
			p.tally.HeardSound(part, now)
			continue
		}
		rest, ok := strings.CutPrefix(text, kindCrash)
		engine, rest, _ := strings.Cut(rest, " ")
		number, parts, _ := strings.Cut(rest, " ")
		at, err := strconv.ParseInt(number, 10, 64)
		if !ok || err != nil || parts == "" {
			continue
		}
		if _, part := p.addCrash(strings.Split(parts, ","), engine, at, now); part != "" {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// Blocked returns the first part of a prompt that is blocked, empty if none is.
func (p *Poison) Blocked(parts []string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if p.tally.Blocked(part, now) {
			return part
		}
	}
	return ""
}

// Suspected reports whether engines crashed under a part of a prompt, so that a request should not be sent to a further one.
func (p *Poison) Suspected(parts []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		return p.tally.Blocked(part, now) || p.tally.OnTrial(part, now) || p.tally.Count(part, now) >= suspectCrashes
	})
}

// Blocks returns the parts that are blocked or on trial.
func (p *Poison) Blocks(now time.Time) map[string]block.Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tally.Blocks(maxBlocks, now)
}

// Restore adds blocks that were begun before this host started or that another host knows.
func (p *Poison) Restore(blocks map[string]block.Block, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.Restore(blocks, now)
}
