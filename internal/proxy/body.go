package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// defaultMaxBody bounds a body where the configuration does not, in bytes.
	defaultMaxBody = 1 << 20
	// freeBody is the size of a body, in bytes, up to which it needs no room.
	freeBody = 32 << 10
)

// readBody reads the whole body: it may have to be sent twice, and the upstream gets its length. Its room is held until releaseBody. Without room the body is
// read and dropped, since callers that still send it would not see the refusal: held, a burst of long bodies could fill the memory of the process, which would end with all requests.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, j *job) *refuse.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := j.view.Rules.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "body over %d bytes", limit)
	}
	need := r.ContentLength
	if need < 0 {
		need = limit
	}
	if need > freeBody {
		if !p.BodyRoom.TryAcquire(need) {
			if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, limit)); err != nil {
				p.Log.Debug("dropping a body failed", zap.String("request", j.req.ID), zap.Error(err))
			}
			return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "no room for a body of %d bytes beside those of other requests", need).WithRetry(defaultRetry)
		}
		j.bodyRoom = need
	}
	data, err := readSized(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "body over %d bytes", limit)
	}
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.SlowBody, "reading the body: %v", err)
	}
	j.req.Body = data
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		p.Log.Debug("read deadline not cleared", zap.Error(err))
	}
	return nil
}

// readSized reads a body of a length, or of any length where it is negative.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// releaseBody gives back the room of the request's body.
func (p *Proxy) releaseBody(j *job) {
	p.BodyRoom.Release(j.bodyRoom)
	j.bodyRoom = 0
}
