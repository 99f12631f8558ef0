package proxy

import (
	"context"
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

// longBody is the length of a body, in bytes, from which more of it may wait to be read than of others.
const longBody = 64 << 10

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
	data, held, err := p.readRoomed(r.Context(), body, r.ContentLength, limit, j)
	j.bodyRoom = held
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		p.releaseBody(j)
		return p.dropBody(body, j)
	case errors.As(err, &tooLarge), errors.Is(err, errTooLarge):
		return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "body over %d bytes", limit)
	case err != nil && !j.part.Complete():
		return noRoom("the caller sent nothing while others needed its room")
	case err != nil:
		return refuse.NewRefusal(verd.NotRun, refuse.SlowBody, "reading the body: %v", err)
	}
	j.req.Body = data
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		p.Log.Debug("read deadline not cleared", zap.Error(err))
	}
	return nil
}

// widen lets more bytes of a long body wait to be read.
func (p *Proxy) widen(ctx context.Context, j *job) {
	if err := p.Widen(ctx); err != nil {
		p.Log.Debug("connection not widened", zap.String("request", j.req.ID), zap.Error(err))
	}
}

// readRoomed reads a body of a length, or of any up to a limit where it is negative; held is the room that it takes.
func (p *Proxy) readRoomed(ctx context.Context, body io.Reader, length, limit int64, j *job) (data []byte, held int64, err error) {
	switch {
	case length > limit:
		return nil, 0, merry.Wrap(errTooLarge)
	case length < 0:
		return p.readChunked(ctx, body, limit, j)
	case !j.part.Take(length):
		return nil, 0, merry.Wrap(errNoRoom)
	case length > longBody:
		p.widen(ctx, j)
	}
	data = make([]byte, length)
	_, err = io.ReadFull(body, data)
	return data, length, err
}

// readChunked reads a body of unknown length. It takes room for the pieces and for the whole, and gives that for the pieces back.
func (p *Proxy) readChunked(ctx context.Context, body io.Reader, limit int64, j *job) (data []byte, held int64, err error) {
	read := int64(0)
	text, err := readPieces(body, limit, func(bytes int64) bool {
		before := read
		read += bytes
		if before <= longBody && read > longBody {
			p.widen(ctx, j)
		}
		return j.part.Take(bytes)
	})
	switch {
	case err != nil:
		return nil, text.held, err
	case len(text.list) == 1:
		return text.join(), text.held, nil
	case !j.part.Take(text.size):
		return nil, text.held, merry.Wrap(errNoRoom)
	}
	data = text.join()
	j.part.Give(text.held)
	return data, text.size, nil
}

// dropBody reads the rest of a body for which there is no room: a caller that still sends it would not see the refusal.
func (p *Proxy) dropBody(body io.Reader, j *job) *refuse.Refusal {
	if _, err := io.Copy(io.Discard, body); err != nil {
		p.Log.Debug("dropping a body failed", zap.String("request", j.req.ID), zap.Error(err))
	}
	return noRoom("no room for the body beside those of other requests")
}

// noRoom returns the refusal of a request that found no room for what it sends, or lost it.
func noRoom(why string) *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "%s", why).WithRetry(defaultRetry)
}

// releaseBody gives back the room of the request's body.
func (p *Proxy) releaseBody(j *job) {
	j.part.Give(j.bodyRoom)
	j.bodyRoom = 0
}
