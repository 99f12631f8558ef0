// Package member follows the session rows of a site and tells which nodes are live.
package member

import (
	"sort"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
)

// driftShare is added to a term before a watcher takes it for ended, since two hosts' clocks may run at rates
// that differ slightly; too early an end would let two nodes act as owner of one runner.
const driftShare = 20

// gapShare is the part of a term after which readings count as interrupted.
const gapShare = 2

// Member is the view one node has of its site's sessions. Only the control goroutine uses it.
type Member struct {
	term  time.Duration
	seen  map[string]seen      // by session id
	fresh time.Time            // start of the last reading of the session rows that succeeded
	spare map[string]time.Time // sessions not to be ended before a time, by id
}

type seen struct {
	session sess.Session
	rev     int64
	since   time.Time // when this node first saw rev
}

// NewMember returns an empty view of sessions with the given lease term.
func NewMember(term time.Duration) *Member {
	return &Member{term: term, seen: map[string]seen{}, spare: map[string]time.Time{}}
}

// Learn takes the rows of the session prefix that a reading begun at begin brought at now, deletions included.
// An older revision than one already seen changes nothing, whichever replica it came from.
func (m *Member) Learn(begin, now time.Time, site string, changed []rows.Row) {
	for _, row := range changed {
		m.learn(now, site, row)
	}
	m.refresh(begin)
}

// refresh notes a reading. After a gap in the readings every term counts anew from it: in an outage nobody could renew,
// and the node that first reaches the service again would otherwise end every other node's session at once, which moves
// all runners for nothing.
func (m *Member) refresh(begin time.Time) {
	if begin.Sub(m.fresh) > m.term/gapShare {
		for id, s := range m.seen {
			s.since = begin
			m.seen[id] = s
		}
	}
	if begin.After(m.fresh) {
		m.fresh = begin
	}
}

// LearnWhole is Learn for a listing of all rows at a revision: what is absent from it and older is gone.
func (m *Member) LearnWhole(begin, now time.Time, site string, all []rows.Row, rev int64) {
	present := map[string]bool{}
	for _, row := range all {
		present[row.Key] = true
	}
	for id, s := range m.seen {
		if !present[s.session.Key()] && s.rev < rev {
			delete(m.seen, id)
		}
	}
	m.Learn(begin, now, site, all)
}

// Spare promises not to take a session for ended before a time, and reports whether it can be promised:
// not for a session that this node does not know or has taken for ended, and not while this node reads the session rows
// itself: then the asker alone is cut off from the table service, and a node that can write there does better by its
// runners.
func (m *Member) Spare(now time.Time, id string, until time.Time) bool {
	s, known := m.seen[id]
	if !known || m.ended(now, s) || now.Sub(m.fresh) < m.term/gapShare {
		return false
	}
	m.spare[id] = until
	return true
}

func (m *Member) learn(now time.Time, site string, row rows.Row) {
	id := row.Key[len(sess.Prefix(site)):]
	known, ok := m.seen[id]
	if ok && row.Rev <= known.rev {
		return
	}
	if row.Gone {
		delete(m.seen, id)
		delete(m.spare, id)
		return
	}
	session, err := sess.Decode(row.Value)
	if err != nil {
		return
	}
	m.seen[id] = seen{session: session, rev: row.Rev, since: now}
}

// Live returns the sessions whose term has not ended, sorted by id.
func (m *Member) Live(now time.Time) []sess.Session {
	var live []sess.Session
	for _, s := range m.seen {
		if s.session.State != sess.Ended && !m.ended(now, s) {
			live = append(live, s.session)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID() < live[j].ID() })
	return live
}

// Serving returns the live sessions that are not leaving.
func (m *Member) Serving(now time.Time) []sess.Session {
	var serving []sess.Session
	for _, s := range m.Live(now) {
		if s.State != sess.Leaving {
			serving = append(serving, s)
		}
	}
	return serving
}

// Ended returns, for each session whose term has ended, the edit that deletes its row if it has not been renewed since.
// Whoever commits that edit has proof that the holder's term is over, even where its own view came from a lagging replica:
// a renewal would have changed the revision.
// Sessions that ended less than grace ago are left out.
func (m *Member) Ended(now time.Time, grace time.Duration) []rows.Row {
	var edits []rows.Row
	for _, s := range m.seen {
		if m.ended(now, s) && m.over(s) > grace {
			edits = append(edits, rows.Row{Key: s.session.Key(), Rev: s.rev, Gone: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Key < edits[j].Key })
	return edits
}

// Met reports whether the session rows have been read at all.
func (m *Member) Met() bool {
	return !m.fresh.IsZero()
}

// Get returns the session with the id, if the view has it.
func (m *Member) Get(id string) (sess.Session, bool) {
	s, ok := m.seen[id]
	return s.session, ok
}

// ended reports whether a term is over. What counts is the time up to the last successful reading: while the table
// service is down nobody can renew, and taking every other node for dead would leave no one to serve.
func (m *Member) ended(now time.Time, s seen) bool {
	if until, ok := m.spare[s.session.ID()]; ok && now.Before(until) {
		return false
	}
	return m.over(s) > 0
}

// over returns for how long a term had been over at the last successful reading; it is negative before the end.
func (m *Member) over(s seen) time.Duration {
	return m.fresh.Sub(s.since) - m.term - m.term/driftShare
}
