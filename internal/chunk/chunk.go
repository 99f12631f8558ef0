// Package chunk holds the answer to a question for a part of rows.
package chunk

// Chunk is a part of a parcel. Without a size, the host has not what it was asked for.
type Chunk struct {
	Rev    int64  `msgpack:"r,omitempty"` // up to which the rows are known
	Base   int64  `msgpack:"b,omitempty"` // revision of the row that is needed to decode it; 0 where none is
	Sum    string `msgpack:"s,omitempty"` // of the whole parcel
	Size   int    `msgpack:"z,omitempty"` // of the whole parcel, in bytes
	Offset int    `msgpack:"o,omitempty"` // of the first byte of Data
	Data   []byte `msgpack:"d,omitempty"`
	WaitMS int64  `msgpack:"w,omitempty"` // the host gives to others now: when to ask again
}
