package commit

import "damaskreach/internal/rows"

// States of an edit.
const (
	Applied  = "applied"   // the table holds it
	Lost     = "lost"      // someone else changed the row first; nothing was written
	Failed   = "failed"    // nothing was written
	Unknown  = "unknown"   // it may have been written, or may be written still
	NotTried = "not tried" // an earlier batch failed; nothing was written
)

// Outcome is what became of one edit.
type Outcome struct {
	Edit  rows.Row
	State string
	Rev   int64    // revision at which it was applied
	Now   rows.Row // of Lost: the row that came first; the zero row if it was removed
	Err   error    // of Failed and Unknown
}
