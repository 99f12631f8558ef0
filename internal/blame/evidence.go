package blame

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskreach/internal/chance"
	"damaskreach/internal/ident"
)

// Kinds of reports on ends of upstreams, and the numbers of their words: "hit CLASS UPSTREAM FINGERPRINT WIDE HOST SHARES SHARES GROUP", with this host's shares of the two
// fingerprints; "end UPSTREAM GROUP"; "share KEY HOST SHARES"; "block KEY" where a request is blocked for its presence at ends; "ran FINGERPRINT" for each that ran well
// lately and differs from what is blocked in address or query alone; "ask FINGERPRINT" for one that is refused like those, in case that it ran well elsewhere. Shares are
// numbers with commas between them, by kind of samples and by class.
const (
	kindHit, hitWords     = "hit", 9
	kindEnd, endWords     = "end", 3
	kindShare, shareWords = "share", 4
	kindBlock             = "block"
	kindRan               = "ran"
	kindAsk               = "ask"
	// noWide stands for the wide fingerprint of a request without one.
	noWide = "-"
)

// Evidence is what is known of ends of upstreams at which a request was present, and of those at which any with its wide fingerprint were that had not run well: at how many
// of all, and the chance of that.
func (b *Blame) Evidence(i ident.Ident, now time.Time) (with, wide, all int, odds, wideOdds float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	with, all, odds = b.chance.Weigh(i.Fingerprint, now)
	wide, _, wideOdds = b.chance.Weigh(i.Wide, now)
	return with, wide, all, odds, wideOdds
}

// Sample records which requests ran at a live upstream of a group at a moment before now, or had just been answered there, for a kind of samples of package chance.
func (b *Blame) Sample(kind int, group string, running, behind []ident.Ident, at, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := [2][]string{chance.Running: b.keysOf(running, at)}
	keys[chance.Behind] = b.keysOf(append(slices.Clip(running), behind...), at)
	b.chance.Sample(kind, group, keys, now)
}

// keysOf returns the fingerprints and the wide fingerprints of requests at a moment, each once.
func (b *Blame) keysOf(list []ident.Ident, at time.Time) (keys []string) {
	for _, i := range list {
		i = b.unproven(i, at)
		keys = append(keys, i.Fingerprint)
		if i.Wide != "" {
			keys = append(keys, i.Wide)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// unproven returns a request without its wide fingerprint if it was known by a moment that it runs well: it is not held to what is known of others like it, so it does not
// count among them either.
func (b *Blame) unproven(i ident.Ident, at time.Time) ident.Ident {
	if b.proven.HadBy(i.Fingerprint, at) {
		i.Wide = ""
	}
	return i
}

// RecordEnd records that an upstream of a group has ended, given the requests of this host that it ran then and those that it had just answered. It returns those of the
// latter that it counts against.
func (b *Blame) RecordEnd(group, upstream string, running, behind []ident.Ident, ended, now time.Time) (against []ident.Ident) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream = b.alias.Name(upstream, now)
	idents := map[string]ident.Ident{}
	for _, i := range append(slices.Clip(behind), running...) {
		idents[i.Fingerprint] = i
	}
	fresh := b.chance.AddEnd(group, upstream, now)
	told := false
	for class, list := range chance.Suspects(fingerprints(running), fingerprints(behind)) {
		for _, fingerprint := range list {
			i := b.unproven(idents[fingerprint], ended)
			b.addHit(i, group, upstream, class, now)
			b.tellHit(i, group, upstream, class, now)
			told = true
		}
	}
	if fresh && !told {
		b.tellEnd(group, upstream)
	}
	for _, i := range behind {
		if slices.ContainsFunc(running, func(other ident.Ident) bool { return other.Fingerprint == i.Fingerprint }) {
			continue
		}
		if added, _, _ := b.addOwn(i, upstream+behindMark, ended, now); added {
			against = append(against, i)
		}
	}
	return against
}

// RecordReplaced records the end of an upstream that shows in its registration alone, unless one is known since a request was first sent there.
func (b *Blame) RecordReplaced(group, upstream string, since, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.alias.EndedSince(upstream, since) {
		return
	}
	if upstream = b.alias.Name(upstream, now); b.chance.AddEnd(group, upstream, now) {
		b.tellEnd(group, upstream)
	}
}

// tellEnd tells other hosts of an end at which no request of this host speaks against anything.
func (b *Blame) tellEnd(group, upstream string) {
	b.outbox.Add(strings.Join([]string{kindEnd, upstream, group}, " "), false)
}

func fingerprints(list []ident.Ident) (all []string) {
	for _, i := range list {
		all = append(all, i.Fingerprint)
	}
	return all
}

// addHit records that a request was present where an upstream ended, and blocks it, or all that differ from it in address and query alone, if that cannot be chance.
func (b *Blame) addHit(i ident.Ident, group, upstream string, class int, now time.Time) {
	for _, key := range []string{i.Fingerprint, i.Wide} {
		if key == "" {
			continue
		}
		b.chance.AddHit(key, i.Fingerprint, group, upstream, class, now)
		if b.chance.Unlikely(key, now) {
			b.block(key, now)
		}
	}
}

// Judge blocks the requests whose presence where upstreams ended is known by now not to be chance.
func (b *Blame) Judge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.chance.AllUnlikely(now) {
		b.block(key, now)
	}
}

// block blocks a request, or those that differ in address and query alone, unless it is blocked, and tells other hosts, which may not have heard of all ends yet.
func (b *Blame) block(key string, now time.Time) {
	if !b.isBarred(key, now) {
		b.outbox.Add(kindBlock+" "+key, true)
	}
	b.bar(key, now)
}

// bar blocks a request for its presence at ends: good answers do not take that back for a while.
func (b *Blame) bar(key string, now time.Time) {
	if !b.isBarred(key, now) && ident.IsWide(key) {
		b.tellRan(key)
	}
	maps.DeleteFunc(b.barred, func(_ string, at time.Time) bool { return now.Sub(at) > barTime })
	b.barred[key] = now
	if t := b.of(key); !t.Blocked(key, now) {
		t.Block(key, now)
	}
}

// tellRan tells other hosts which requests with a wide fingerprint ran well here lately: they are not held to what is known of others like them.
func (b *Blame) tellRan(wide string) {
	for _, fingerprint := range b.proven.Alike(wide) {
		b.outbox.Add(kindRan+" "+fingerprint, true)
	}
}

// Held reports whether a request must not be sent for what is known of others like it: it is not known to run well. It asks other hosts whether it ran well there, as this one
// may have started since, or have forgotten it.
func (b *Blame) Held(i ident.Ident, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.wide.Blocked(i.Wide, now) || b.proven.Has(i.Fingerprint) {
		return false
	}
	if text := kindAsk + " " + i.Fingerprint; b.mayAsk(text, now) {
		b.outbox.Add(text, false)
	}
	return true
}

// mayAsk reports whether hosts were not asked something just now, nor answered, and records that they are.
func (b *Blame) mayAsk(text string, now time.Time) bool {
	if at, known := b.asked.Get(text); known && now.Sub(at) < askInterval {
		return false
	}
	b.asked.Set(text, now, now)
	return true
}

// isBarred reports whether a request is blocked for its presence at ends.
func (b *Blame) isBarred(key string, now time.Time) bool {
	at, known := b.barred[key]
	return known && now.Sub(at) <= barTime
}

// tellHit tells other hosts of a hit. Those of requests with several go before others: a loss of many upstreams is told with thousands.
func (b *Blame) tellHit(i ident.Ident, group, upstream string, class int, now time.Time) {
	wide, shares := noWide, encodeShare([2][2]float64{})
	if i.Wide != "" {
		wide, shares = i.Wide, encodeShare(b.chance.Share(i.Wide, group))
	}
	words := []string{
		kindHit, strconv.Itoa(class), upstream, i.Fingerprint, wide, b.Host, encodeShare(b.chance.Share(i.Fingerprint, group)), shares, group,
	}
	hits, _, _ := b.chance.Weigh(i.Fingerprint, now)
	wideHits, _, _ := b.chance.Weigh(i.Wide, now)
	b.outbox.Add(strings.Join(words, " "), max(hits, wideHits) > 1)
}

// addEvidence applies another host's report on an end. It reports false if it is none.
func (b *Blame) addEvidence(text string, now time.Time) bool {
	kind, _, _ := strings.Cut(text, " ")
	switch kind {
	case kindHit:
		b.hearHit(strings.SplitN(text, " ", hitWords), now)
	case kindEnd:
		if words := strings.SplitN(text, " ", endWords); len(words) == endWords {
			b.chance.AddEnd(words[2], b.alias.Name(words[1], now), now)
		}
	case kindBlock:
		if key := strings.TrimPrefix(text, kindBlock+" "); len(key) == ident.FingerprintLen {
			b.bar(key, now)
		}
	case kindRan:
		if fingerprint := strings.TrimPrefix(text, kindRan+" "); len(fingerprint) == ident.FingerprintLen {
			b.proven.Add(ident.Ident{Fingerprint: fingerprint}, now)
		}
	case kindAsk:
		if fingerprint := strings.TrimPrefix(text, kindAsk+" "); b.proven.Has(fingerprint) && b.mayAsk(text, now) {
			b.outbox.Add(kindRan+" "+fingerprint, true)
		}
	case kindShare:
		b.hearShare(strings.SplitN(text, " ", shareWords))
	default:
		return false
	}
	return true
}

func (b *Blame) hearHit(words []string, now time.Time) {
	if len(words) != hitWords {
		return
	}
	class, err := strconv.Atoi(words[1])
	if err != nil || class != chance.Running && class != chance.Behind || len(words[3]) != ident.FingerprintLen {
		return
	}
	i := ident.Ident{Fingerprint: words[3], Wide: words[4]}
	if i.Wide == noWide {
		i.Wide = ""
	}
	upstream, host, group := b.alias.Name(words[2], now), words[5], words[8]
	// The shares come first, as the hit is judged by them.
	for n, key := range []string{i.Fingerprint, i.Wide} {
		if share, ok := decodeShare(words[6+n]); ok && key != "" && host != b.Host {
			b.chance.Expect(key, group, now)
			b.chance.SetShare(key, host, share)
		}
	}
	b.addHit(i, group, upstream, class, now)
	b.tellShare(i.Fingerprint, now)
	b.tellShare(i.Wide, now)
}

// tellShare tells other hosts how often requests with a key are present here, which the chance that ends speak against it hangs on.
func (b *Blame) tellShare(key string, now time.Time) {
	if share, tell := b.chance.ToTell(key, now); tell {
		b.outbox.Add(strings.Join([]string{kindShare, key, b.Host, encodeShare(share)}, " "), true)
	}
}

func (b *Blame) hearShare(words []string) {
	if len(words) != shareWords || words[2] == b.Host {
		return
	}
	if share, ok := decodeShare(words[3]); ok {
		b.chance.SetShare(words[1], words[2], share)
	}
}

func encodeShare(share [2][2]float64) string {
	var parts []string
	for _, classes := range share {
		for _, part := range classes {
			parts = append(parts, strconv.FormatFloat(part, 'g', 3, 64))
		}
	}
	return strings.Join(parts, ",")
}

func decodeShare(text string) (share [2][2]float64, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != len(share)*len(share[0]) {
		return share, false
	}
	for n, part := range parts {
		value, err := strconv.ParseFloat(part, 64)
		if err != nil || !(value >= 0 && value <= 1) {
			return [2][2]float64{}, false
		}
		share[n/len(share[0])][n%len(share[0])] = value
	}
	return share, true
}
