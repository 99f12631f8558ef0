// Package event holds one decision as the journal of a node keeps it.
package event

import (
	"time"

	"damaskreach/internal/reason"
)

// Event is a decision of a node.
type Event struct {
	At      time.Time     `json:"at" msgpack:"at"`
	Node    string        `json:"node" msgpack:"node"`
	Request string        `json:"request,omitempty" msgpack:"request,omitempty"` // request or attempt id; empty where it concerns none
	Why     reason.Reason `json:"why" msgpack:"why"`
}
