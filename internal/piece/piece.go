// Package piece holds what a host asks another one for when rows are too large for one message.
package piece

// Piece asks for a part of rows under a prefix.
type Piece struct {
	Prefix string  `msgpack:"p"`
	After  int64   `msgpack:"a"`           // revision up to which the host knows the rows, or feed.Whole for all of them
	Bases  []int64 `msgpack:"b,omitempty"` // revisions of large rows that it has, newest first
	Sum    string  `msgpack:"s,omitempty"` // of the parcel whose beginning it has
	Offset int     `msgpack:"o,omitempty"` // how many bytes of it
}
