// Package poison finds parts of prompts that crash the engines that run them.
//
// No two of the requests with such a part need be alike, so that each by itself looks harmless. Unless the part is found, engines crash one after
// the other with everything that runs there; the symptom is engines that restart in turn.
package poison

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// minCrashes is how often engines must have crashed under a part for it to be blocked.
	minCrashes = 3
	// suspectCrashes is the number from which requests with the part are not sent a second time.
	suspectCrashes = 2
	// crashInterval is the time within which crashes of several engines count once: engines that crash together have another cause.
	crashInterval = 150 * time.Millisecond
	// soundFor is how long crashes do not count against a part after a request with it ran well at this host. Where many engines crash
	// together for another reason, the parts that most of their requests share must not be blocked.
	soundFor = 1500 * time.Millisecond
	// tellInterval is the shortest time between two reports that a part is sound, of this host or heard from others.
	tellInterval = 2 * time.Second
	// crashTTL is how long crashes count after the last one.
	crashTTL = 2 * time.Minute
	// blockTime is how long a part is blocked.
	blockTime = 10 * time.Minute
	// maxRecords bounds the parts with crashes, and maxSound those that ran well, some 100 bytes each.
	maxRecords, maxSound = 5000, 20000
	// maxPending is the most reports in one message.
	maxPending = 200
)

// Kinds of reports between hosts: "crash ENGINE TIME PART,PART", with the Unix time in ms, and "sound PART".
const (
	kindCrash = "crash "
	kindSound = "sound "
)

// Poison may be used from several goroutines. The zero value knows no part.
type Poison struct {
	mu      sync.Mutex
	records map[string]record
	sound   map[string]soundness
	pending []string // reports not yet sent to other hosts
}

// record is what is known against one part.
type record struct {
	crashes      map[string]int64 // Unix times in ms, by incarnation of engine, since a request with the part last ran well
	last         time.Time        // when a crash was last added
	blockedUntil time.Time
}

// count returns how often engines crashed, counting those that crashed together once.
func (r record) count() (count int) {
	var counted int64
	for _, at := range slices.Sorted(maps.Values(r.crashes)) {
		if count == 0 || at-counted >= crashInterval.Milliseconds() {
			count, counted = count+1, at
		}
	}
	return count
}

func (r record) blocked(now time.Time) bool { return now.Before(r.blockedUntil) }

// soundness is what speaks for one part.
type soundness struct {
	ranAt  time.Time // when a request with the part last ran well here
	toldAt time.Time // when hosts were last told so, by this host or another one
}

// RecordCrash records that an engine crashed while it began to run a request, given the shared parts of its prompt in order. It returns the part
// that is blocked from now on, empty if none is.
func (p *Poison) RecordCrash(parts []string, engine string, now time.Time) (blocked string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added, blocked := p.addCrash(parts, engine, now.UnixMilli(), now)
	if len(added) > 0 {
		p.report(fmt.Sprint(kindCrash, engine, " ", now.UnixMilli(), " ", strings.Join(added, ",")))
	}
	return blocked
}

// addCrash counts a crash against those parts of a prompt that did not run well here just now, and returns them if it was not known yet.
func (p *Poison) addCrash(parts []string, engine string, at int64, now time.Time) (added []string, blocked string) {
	known := true
	for _, part := range parts {
		if now.Sub(p.sound[part].ranAt) < soundFor {
			p.reportSound(part, now)
			continue
		}
		known = !p.add(part, engine, at, now) && known
		added = append(added, part)
	}
	if known {
		return nil, ""
	}
	return added, p.blockDeepest(added, now)
}

// add counts a crash against a part; it reports false if it is known.
func (p *Poison) add(part, engine string, at int64, now time.Time) bool {
	if p.records == nil || len(p.records) >= maxRecords {
		p.records = p.blockedRecords(now)
	}
	r := p.records[part]
	if _, known := r.crashes[engine]; known {
		return false
	}
	if r.crashes == nil || now.Sub(r.last) > crashTTL && !r.blocked(now) {
		r = record{crashes: map[string]int64{}, blockedUntil: r.blockedUntil}
	}
	r.crashes[engine] = at
	r.last = now
	p.records[part] = r
	return true
}

// blockedRecords returns the records of the parts that are blocked.
func (p *Poison) blockedRecords(now time.Time) map[string]record {
	kept := map[string]record{}
	for part, r := range p.records {
		if r.blocked(now) {
			kept[part] = r
		}
	}
	return kept
}

// blockDeepest blocks the last of a prompt's parts under which enough engines have crashed, which explains the crashes under the others: parts
// before it are in many other prompts too.
func (p *Poison) blockDeepest(parts []string, now time.Time) (blocked string) {
	at := len(parts) - 1
	for at >= 0 && p.records[parts[at]].count() < minCrashes {
		at--
	}
	if at < 0 || p.records[parts[at]].blocked(now) {
		return ""
	}
	blocked = parts[at]
	for _, part := range parts {
		if !p.records[part].blocked(now) && part != blocked {
			delete(p.records, part)
		}
	}
	r := p.records[blocked]
	r.blockedUntil = now.Add(blockTime)
	p.records[blocked] = r
	return blocked
}

// RecordSound records that a request ran well, given the shared parts of its prompt: none of them crashes engines.
func (p *Poison) RecordSound(parts []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.setSound(part, soundness{ranAt: now, toldAt: p.sound[part].toldAt})
		if _, known := p.records[part]; known {
			delete(p.records, part)
			p.reportSound(part, now)
		}
	}
}

func (p *Poison) setSound(part string, s soundness) {
	if p.sound == nil || len(p.sound) >= maxSound {
		p.sound = map[string]soundness{}
	}
	p.sound[part] = s
}

// reportSound tells other hosts, which may count crashes against a part, that it is sound, unless they were just told.
func (p *Poison) reportSound(part string, now time.Time) {
	s := p.sound[part]
	if now.Sub(s.toldAt) < tellInterval {
		return
	}
	s.toldAt = now
	p.setSound(part, s)
	p.report(kindSound + part)
}

func (p *Poison) report(text string) {
	if len(p.pending) < maxPending {
		p.pending = append(p.pending, text)
	}
}

// TakePending returns and clears the reports that were not sent to other hosts yet.
func (p *Poison) TakePending() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.pending
	p.pending = nil
	return list
}

// AddReports applies reports of other hosts. It returns the parts that are blocked from now on.
func (p *Poison) AddReports(list []string, now time.Time) (blocked []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range list {
		if part, ok := strings.CutPrefix(text, kindSound); ok {
			delete(p.records, part)
			p.setSound(part, soundness{ranAt: p.sound[part].ranAt, toldAt: now})
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
		if p.records[part].blocked(now) {
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
		r := p.records[part]
		return r.blocked(now) || r.count() >= suspectCrashes && now.Sub(r.last) <= crashTTL
	})
}

// Blocks returns the parts that are blocked, and until when.
func (p *Poison) Blocks(now time.Time) map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	blocks := map[string]time.Time{}
	for part, r := range p.records {
		if r.blocked(now) {
			blocks[part] = r.blockedUntil
		}
	}
	return blocks
}

// Restore blocks parts that were blocked before this host started.
func (p *Poison) Restore(blocks map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.records == nil {
		p.records = map[string]record{}
	}
	for part, until := range blocks {
		r := p.records[part]
		r.blockedUntil = until
		p.records[part] = r
	}
}
