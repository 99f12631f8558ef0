package client

import (
	"context"
	"net/http"

	"damaskreach/internal/sseio"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	eventLimit = 1 << 20 // bytes of one event
	endMark    = "[DONE]"
)

// Stream sends a request for a streamed answer; see Do. It calls emit with the data of each event, which is valid only
// during the call, and returns nil only where the stream came to its end mark. A stream that breaks off after its first
// event is not begun again, because its caller has a part of it.
func (c *Client) Stream(ctx context.Context, model string, req *http.Request, emit func(data []byte) error) error {
	res, err := c.Do(ctx, model, req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	events := sseio.NewReader(res.Body, eventLimit)
	for {
		data, err := events.Next()
		if err != nil {
			return broken(ctx, err)
		}
		if string(data) == endMark {
			return nil
		}
		if refusal := parse(data); refusal != nil {
			return refusal
		}
		if err := emit(data); err != nil {
			return refuse.NewRefusal(verd.MayHaveRun, refuse.Canceled, "taking an event: %v", err)
		}
	}
}

func broken(ctx context.Context, err error) *refuse.Refusal {
	if refusal := ended(ctx, verd.MayHaveRun); refusal != nil {
		return refusal
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading the answer: %v", err)
}
