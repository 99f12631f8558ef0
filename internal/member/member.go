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

// Member is the view one node has of its site's sessions. Only the control goroutine uses it.
type Member struct {
	term time.Duration
	seen map[string]seen // by session id
}

type seen struct {
	session sess.Session
	rev     int64
	since   time.Time // when this node first saw rev
}

// NewMember returns an empty view of sessions with the given lease term.
func NewMember(term time.Duration) *Member {
	return &Member{term: term, seen: map[string]seen{}}
}

// Learn takes rows of the session prefix, read at now, deletions included.
// An older revision than one already seen changes nothing, whichever replica or peer it came from.
func (m *Member) Learn(now time.Time, site string, changed []rows.Row) {
	for _, row := range changed {
		m.learn(now, site, row)
	}
}

func (m *Member) learn(now time.Time, site string, row rows.Row) {
	id := row.Key[len(sess.Prefix(site)):]
	known, ok := m.seen[id]
	if ok && row.Rev <= known.rev {
		return
	}
	if row.Gone {
		delete(m.seen, id)
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
		if !m.ended(now, s) {
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
func (m *Member) Ended(now time.Time) []rows.Row {
	var edits []rows.Row
	for _, s := range m.seen {
		if m.ended(now, s) {
			edits = append(edits, rows.Row{Key: s.session.Key(), Rev: s.rev, Gone: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Key < edits[j].Key })
	return edits
}

// Get returns the session with the id, if the view has it.
func (m *Member) Get(id string) (sess.Session, bool) {
	s, ok := m.seen[id]
	return s.session, ok
}

func (m *Member) ended(now time.Time, s seen) bool {
	return now.Sub(s.since) > m.term+m.term/driftShare
}
