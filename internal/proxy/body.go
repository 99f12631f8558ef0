package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// defaultMaxBody bounds a body where the configuration does not, in bytes.
const defaultMaxBody = 1 << 20

// freeBody is how long a body may be that needs no room, in bytes.
const freeBody = 32 << 10

// readBody reads the whole body: it may have to be sent twice, and the upstream gets its length. Its room is held until releaseBody. Held without a bound, a
// burst of long bodies could fill the memory of the process, which would end with all its requests.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, j *job) *refuse.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := j.view.Rules.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	data, held, err := p.readRoomed(body, r.ContentLength, limit)
	j.bodyRoom = held
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		p.releaseBody(j)
		return p.dropBody(body, j)
	case errors.As(err, &tooLarge), errors.Is(err, errTooLarge):
		return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "body over %d bytes", limit)
	case err != nil:
		return refuse.NewRefusal(verd.NotRun, refuse.SlowBody, "reading the body: %v", err)
	}
	j.req.Body = data
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		p.Log.Debug("read deadline not cleared", zap.Error(err))
	}
	return nil
}

// readRoomed reads a body of a length, or of any up to a limit where it is negative; held is the room that it takes.
func (p *Proxy) readRoomed(body io.Reader, length, limit int64) (data []byte, held int64, err error) {
	switch {
	case length > limit:
		return nil, 0, merry.Wrap(errTooLarge)
	case length < 0:
		return p.readChunked(body, limit)
	case length > freeBody && !p.BodyRoom.TryAcquire(length):
		return nil, 0, merry.Wrap(errNoRoom)
	case length > freeBody:
		held = length
	}
	data = make([]byte, length)
	_, err = io.ReadFull(body, data)
	return data, held, err
}

// readChunked reads a body of unknown length. It takes room for the pieces and for the whole, and gives that for the pieces back.
func (p *Proxy) readChunked(body io.Reader, limit int64) (data []byte, held int64, err error) {
	text, err := readPieces(body, limit, func(bytes int64) bool {
		if bytes < nextPiece {
			return true
		}
		if !p.BodyRoom.TryAcquire(bytes) {
			return false
		}
		held += bytes
		return true
	})
	switch {
	case err != nil:
		return nil, held, err
	case len(text.list) == 1:
		return text.join(), held, nil
	case !p.BodyRoom.TryAcquire(text.size):
		return nil, held, merry.Wrap(errNoRoom)
	}
	data = text.join()
	p.BodyRoom.Release(held)
	return data, text.size, nil
}

// dropBody reads the rest of a body for which there is no room: a caller that still sends it would not see the refusal.
func (p *Proxy) dropBody(body io.Reader, j *job) *refuse.Refusal {
	if _, err := io.Copy(io.Discard, body); err != nil {
		p.Log.Debug("dropping a body failed", zap.String("request", j.req.ID), zap.Error(err))
	}
	return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "no room for the body beside those of other requests").WithRetry(defaultRetry)
}

// releaseBody gives back the room of the request's body.
func (p *Proxy) releaseBody(j *job) {
	p.BodyRoom.Release(j.bodyRoom)
	j.bodyRoom = 0
}
