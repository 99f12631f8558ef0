// Package began holds the record of where a stream began.
package began

// Began says which build of a group's software wrote the first event of a stream. Another build cannot go on with it.
type Began struct {
	Attempt string `msgpack:"a"` // ID of the caller's attempt that the first event answered
	Group   string `msgpack:"g"` // of the upstream
	Build   string `msgpack:"b"`
}
