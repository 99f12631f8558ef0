// Package chunk defines the answer to a request for part of a parcel.
package chunk

// Chunk is a part of a parcel. A Size of 0 means that the host does not have the requested rows.
type Chunk struct {
	Rev    int64  `msgpack:"r,omitempty"` // revision up to which the rows are known
	Base   int64  `msgpack:"b,omitempty"` // revision of the row needed to decode the parcel; 0 if none
	Sum    string `msgpack:"s,omitempty"` // of the whole parcel
	Size   int    `msgpack:"z,omitempty"` // of the whole parcel, in bytes
	Offset int    `msgpack:"o,omitempty"` // of the first byte of Data
	Data   []byte `msgpack:"d,omitempty"`
	WaitMS int64  `msgpack:"w,omitempty"` // set while the host serves others: delay before the next request
}
