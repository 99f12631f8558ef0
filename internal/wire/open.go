package wire

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Open opens a stream whose first message is the question. With last set it is also the only one: the sending half
// is closed. The stream is reset when ctx ends. Errors of Open are not-run.
func (c *Conn) Open(ctx context.Context, method string, question any, last bool) (*strm.Stream, error) {
	var s *strm.Stream
	err := strm.Encode(func(body []byte) error {
		if len(body) > c.bounds.Frame {
			return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "message of %d bytes, %d allowed", len(body), c.bounds.Frame)
		}
		var err error
		s, err = c.openWith(ctx, body, last)
		return err
	}, method, question)
	if err != nil {
		return nil, verd.Mark(merry.Prependf(err, "opening %s at node %s", method, c.peer.ID), verd.NotRun)
	}
	return s, nil
}

func (c *Conn) openWith(ctx context.Context, body []byte, last bool) (*strm.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.await(ctx); err != nil {
		return nil, err
	}
	if c.draining {
		return nil, ErrAway
	}
	id := c.next
	f := frame.Frame{Kind: frame.Open, Stream: id, Body: body}
	if last {
		f.Flags = frame.Last
	}
	start := c.out.queued
	if err := c.append(f); err != nil {
		return nil, err
	}
	c.next += step
	s := c.newStream(context.WithoutCancel(ctx), id, last)
	s.Follow(ctx)
	c.streams[id] = entry{stream: s, mine: true, start: start}
	return s, nil
}

func (c *Conn) newStream(ctx context.Context, id uint64, closed bool) *strm.Stream {
	return strm.NewStream(ctx, id, c.peer.ID, c.bounds, closed, c.write, func() { c.forget(id) })
}
