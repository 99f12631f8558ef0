// Package report holds what an engine says of itself, late.
package report

import "time"

// Report is an engine's own account of its load, true as of At.
type Report struct {
	At       time.Time      `json:"at"`       // engine's clock when the figures held
	Boot     string         `json:"boot"`     // changes with each start of the engine
	Fence    int64          `json:"fence"`    // highest fencing number seen; 0 on engines that ignore them
	Slots    int            `json:"slots"`    // adapter slots
	Batch    int            `json:"batch"`    // requests a step can hold
	Resident []string       `json:"resident"` // models loaded, as adapter@version
	Running  map[string]int `json:"running"`  // requests in progress by model
	Waiting  int            `json:"waiting"`  // requests queued inside the engine
}
