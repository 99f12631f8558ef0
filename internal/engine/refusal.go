package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"

	"github.com/ansel1/merry/v2"
)

const maxRefusalBytes = 64 << 10 // bytes read of an engine's refusal

// checkRefusal returns a refusal if the status of res guarantees that the engine started nothing, else nil.
func (c *client) checkRefusal(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusNotFound:
		return c.newRefusal(res, refuse.NoUpstream)
	case http.StatusConflict:
		return c.newRefusal(res, refuse.LoadFailed)
	case http.StatusPreconditionFailed:
		return c.newRefusal(res, refuse.Moved)
	case http.StatusServiceUnavailable:
		if res.Header.Get(HeaderRefused) != "" {
			return c.newRefusal(res, refuse.Overloaded)
		}
	}
	return nil
}

func (c *client) newRefusal(res *http.Response, code string) error {
	refusal := refuse.NewRefusal(verd.NotRun, code, "engine %s answered %d: %s", c.addr, res.StatusCode, reasonOf(res))
	drain(res)
	return merry.Wrap(refusal, merry.WithValue(statusKey{}, res.StatusCode))
}

// reasonOf returns the engine's error message, or the status text if the message is missing or truncated.
func reasonOf(res *http.Response) string {
	var answer struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&answer)
	if err != nil || answer.Error.Message == "" {
		return http.StatusText(res.StatusCode)
	}
	return answer.Error.Message
}

type statusKey struct{}

// Status returns the HTTP status with which an engine refused a request before starting anything, or 0 for any other error:
// 404 if the model is not loaded there, 409 if no slot is free, 412 if the engine has seen a higher fencing token.
func Status(err error) int {
	status, _ := merry.Value(err, statusKey{}).(int)
	return status
}
