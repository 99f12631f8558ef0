package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"

	"github.com/ansel1/merry/v2"
)

const refusalLimit = 64 << 10 // bytes read of an engine's refusal

// refused returns the refusal in res where the engine says for certain that nothing was started, or nil.
func (c *client) refused(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusNotFound:
		return c.refusal(res, refuse.NoUpstream)
	case http.StatusConflict:
		return c.refusal(res, refuse.LoadFailed)
	case http.StatusPreconditionFailed:
		return c.refusal(res, refuse.Moved)
	case http.StatusServiceUnavailable:
		if res.Header.Get(HeaderRefused) != "" {
			return c.refusal(res, refuse.Overloaded)
		}
	}
	return nil
}

func (c *client) refusal(res *http.Response, code string) error {
	refusal := refuse.NewRefusal(verd.NotRun, code, "engine %s answered %d: %s", c.addr, res.StatusCode, reasonOf(res))
	drain(res)
	return merry.Wrap(refusal, merry.WithValue(statusKey{}, res.StatusCode))
}

// reasonOf returns the engine's own words, which may be missing or cut: the status alone decides.
func reasonOf(res *http.Response) string {
	var said struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, refusalLimit)).Decode(&said)
	if err != nil || said.Error.Message == "" {
		return http.StatusText(res.StatusCode)
	}
	return said.Error.Message
}

type statusKey struct{}

// Status returns the HTTP status with which an engine refused before it started anything, or 0 for any other error.
// 404 means that the model is not loaded there, 409 that no slot is free, 412 that a higher fencing number was seen.
func Status(err error) int {
	status, _ := merry.Value(err, statusKey{}).(int)
	return status
}
