// Package permit holds the leave of a weight store's load scheduler to run one load.
package permit

import "time"

// Permit allows Owner to load Model into Runner. The scheduler voids it at Until, on its own clock.
type Permit struct {
	Owner  string    `msgpack:"owner"` // node id
	Runner string    `msgpack:"runner"`
	Model  string    `msgpack:"model"` // adapter@version
	Until  time.Time `msgpack:"until"`
}
