// Package timing holds when the parts of an answer passed.
package timing

import "time"

// Timing is filled while an answer is written to its caller.
type Timing struct {
	Start time.Time // request received
	First time.Time // first piece written; zero where none was
	End   time.Time // last piece written
	Count int       // pieces written
}
