package strm

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// fault is an error on its way between nodes.
type fault struct {
	Refusal refuse.Refusal `msgpack:"refusal"`
	Plain   bool           `msgpack:"plain"` // it was no refusal: only text and verdict count
}

func encodeFault(err error) []byte {
	body, failed := msgpack.Marshal(newFault(err))
	if failed != nil {
		return nil
	}
	return body
}

func newFault(err error) fault {
	verdict := verd.Of(err)
	var refusal *refuse.Refusal
	switch {
	case errors.As(err, &refusal):
		return fault{Refusal: *refusal.WithVerdict(verdict)}
	case errors.Is(err, context.DeadlineExceeded):
		return fault{Refusal: *refuse.NewRefusal(verdict, refuse.Deadline, "%v", err)}
	case errors.Is(err, context.Canceled):
		return fault{Refusal: *refuse.NewRefusal(verdict, refuse.Canceled, "%v", err)}
	}
	return fault{Refusal: refuse.Refusal{Verdict: verdict, Text: err.Error()}, Plain: true}
}

// decodeFault returns the peer's error; one that cannot be read says so and keeps the verdict may-have-run.
func decodeFault(body []byte) error {
	var f fault
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return merry.Prepend(err, "stream: reading the peer's error")
	}
	if f.Plain {
		return verd.Mark(merry.New(f.Refusal.Text), f.Refusal.Verdict)
	}
	return &f.Refusal
}
