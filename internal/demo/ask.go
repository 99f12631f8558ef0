package demo

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/stand/site"
	"damaskreach/pkg/verd"
)

const (
	mostTries = 20
	usualWait = 200 * time.Millisecond // before another try, where no Retry-After says otherwise
	longWait  = time.Second
)

// result is the outcome of one try.
type result struct {
	status  int
	verdict string
	whole   bool
	text    string
	retry   time.Duration
}

// ask sends a request until it is answered in full or nothing more may be tried. A completion that may have run is asked
// again, since it is idempotent; a booking is asked again only with its key, which makes that safe.
func (d *Demo) ask(ctx context.Context, q demand) {
	for try := range mostTries {
		id := fmt.Sprintf("request-%d-%d", q.number, try)
		d.judge.Sent(id, q.key(), q.booking, q.model, q.want())
		start := time.Now()
		r := d.once(ctx, q, id, d.entries.pick(ctx, q.node+try))
		d.judge.Got(id, r.status, r.verdict, r.whole, r.text)
		if r.whole || ctx.Err() != nil {
			d.note(id, time.Since(start))
			return
		}
		pause(ctx, r.retry)
	}
}

func (q demand) key() string {
	if !q.booking {
		return ""
	}
	return fmt.Sprintf("booking-%d", q.number)
}

func (d *Demo) note(id string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.took = append(d.took, took)
	if took > d.most {
		d.most, d.slow = took, id
	}
}

func (d *Demo) once(ctx context.Context, q demand, id string, node int) result {
	headers := map[string]string{entry.HeaderRequest: id}
	if q.booking {
		headers[entry.HeaderKey] = q.key()
		headers["Content-Type"] = bookingType
		return parse(d.site.Book(ctx, node, bookingPath, q.body, headers))
	}
	r := parse(d.site.Complete(ctx, node, q.model, q.prompt, q.tokens, headers))
	if r.status == http.StatusOK {
		r.text, r.whole = site.Text([]byte(r.text))
	}
	return r
}

func parse(status int, header http.Header, body []byte, err error) result {
	r := result{status: status, verdict: header.Get(entry.HeaderVerdict), text: string(body), retry: usualWait}
	r.whole = err == nil && status == http.StatusOK
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		r.retry = min(longWait, time.Duration(seconds)*time.Second)
	}
	if r.verdict == "" && status == 0 {
		r.verdict = verd.MayHaveRun.String()
	}
	return r
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
