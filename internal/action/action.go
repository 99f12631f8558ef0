// Package action holds what was observed in a run of a site, for checks of what must always hold.
package action

import "time"

// Kinds of actions.
const (
	Start  = "start"  // a node sends a request to a runner
	Load   = "load"   // a node sends an order to load a model
	Unload = "unload" // a node sends an order to unload a model
	Force  = "force"  // a node has a configuration revision in force
	Commit = "commit" // the table service accepted a configuration revision
	Leave  = "leave"  // operators or the platform marked a runner as leaving
	Return = "return" // the mark was taken back
	Join   = "join"   // a node is live and connected from now on
	Part   = "part"   // a node is not live or not connected from now on
	Drain  = "drain"  // a graceful shutdown began
	Exit   = "exit"   // a graceful shutdown was complete
	Answer = "answer" // a caller's request ended
)

// Action is one observation. Fields that do not apply to its kind stay zero.
type Action struct {
	Kind    string
	At      time.Time // when it was done, or begun
	End     time.Time // when the answer to it came; zero where none did
	Process string    // life of a node: a restarted node is another process
	Runner  string
	Fence   int64
	Model   string
	Request string
	Rev     int64  // configuration revision
	Fault   string // why it failed; empty for success
	NotRun  bool   // the caller was told that its request did not run
}
