// Package raced lets tests that run programs as processes look for data races in them.
//
// The race detector watches the process that it is built into. A test under the detector that starts programs without it
// would look at itself alone, and a race in a program would pass unseen.
package raced

import (
	"bytes"
	"runtime/debug"
)

// report begins each report of the detector on a process's standard error.
const report = "WARNING: DATA RACE"

// Flags returns the flags with which a test builds programs, so that the detector watches them where it watches the test.
func Flags() []string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nil
	}
	for _, s := range info.Settings {
		if s.Key == "-race" && s.Value == "true" {
			return []string{"-race"}
		}
	}
	return nil
}

// Report returns the first report of a data race in what a process wrote, nil where there is none.
func Report(output []byte) []byte {
	at := bytes.Index(output, []byte(report))
	if at < 0 {
		return nil
	}
	return output[at:]
}
