// Package assign holds the ownership row of a runner.
package assign

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/table"
)

// Former is an earlier owner that has not yet been seen to have stopped using the runner.
type former = struct {
	Session string `json:"session"`
	Peer    string `json:"peer"`
}

// Assignment says which session owns a runner. It is written only when ownership changes and, on engines that
// ignore fencing numbers, around an unload.
type Assignment struct {
	Runner   string   `json:"runner"`
	Session  string   `json:"session"`            // owner's session id
	Peer     string   `json:"peer"`               // owner's address for other nodes
	Fence    int64    `json:"fence"`              // grows with every change of owner
	Released bool     `json:"released,omitempty"` // the owner has closed starts and wants a successor
	Formers  []former `json:"formers,omitempty"`  // earlier owners that may still use the runner
	Unload   string   `json:"unload,omitempty"`   // model whose unload may be on its way to an engine that ignores fences
	Late     []string `json:"late,omitempty"`     // models whose earlier unloads got no answer and may still be on their way
}

// Prefix returns the key prefix of a site's ownership rows.
func Prefix(site string) string {
	return table.PrefixOwn + site + "/"
}

// Key returns the key of a runner's ownership row.
func Key(site, runner string) string {
	return Prefix(site) + runner
}

// WithOwner returns the row by which another session takes the runner over.
func (a Assignment) WithOwner(session, peer string) Assignment {
	next := a
	next.Formers = a.WithoutFormer(a.Session).Formers
	if a.Session != "" {
		next.Formers = append(next.Formers, former{Session: a.Session, Peer: a.Peer})
	}
	next.Session = session
	next.Peer = peer
	next.Fence = a.Fence + 1
	next.Released = false
	return next
}

// WithReleased returns the row by which the owner asks for a successor.
func (a Assignment) WithReleased() Assignment {
	a.Released = true
	return a
}

// WithUnload returns the row that announces an unload; an empty model says that none is on its way.
func (a Assignment) WithUnload(model string) Assignment {
	a.Unload = model
	return a
}

// WithLate returns the row that names a model whose unload got no answer. It stays named beside the next one announced:
// overwritten, it would be unknown to a successor, which would start requests on the model.
func (a Assignment) WithLate(model string) Assignment {
	if model != "" && !slices.Contains(a.Late, model) {
		a.Late = append(slices.Clone(a.Late), model)
	}
	return a
}

// WithoutLate returns the row without a model whose unload cannot be on its way any more.
func (a Assignment) WithoutLate(model string) Assignment {
	a.Late = slices.DeleteFunc(slices.Clone(a.Late), func(late string) bool { return late == model })
	return a
}

// WithoutFormer returns the row without an earlier owner, which has stopped using the runner.
func (a Assignment) WithoutFormer(session string) Assignment {
	var left []former
	for _, f := range a.Formers {
		if f.Session != session {
			left = append(left, f)
		}
	}
	a.Formers = left
	return a
}

// Same reports whether two rows are equal, which tells one's own write from another's.
func (a Assignment) Same(other Assignment) bool {
	return string(a.Encode()) == string(other.Encode())
}

// Encode returns the row value.
func (a Assignment) Encode() []byte {
	value, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings, integers and booleans always encode
	}
	return value
}

// Decode reads a row value.
func Decode(value []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		return Assignment{}, merry.Prepend(err, "reading an ownership row")
	}
	return a, nil
}
