package trial

import (
	"context"
	"maps"
	"strings"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/seen"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/site"
)

const (
	bookingPath = "/slots"
	bookingType = "application/json"
)

// Model returns the name of adapter i with its version.
func Model(i int) string {
	return site.AdapterName(i%adapters) + "@v1"
}

// Complete sends a streamed completion to a node and has the judge watch it. Headers may be nil.
func (t *Trial) Complete(ctx context.Context, node int, model, prompt string, tokens int, headers map[string]string) seen.Seen {
	id := t.ID()
	want := strings.Join(engsim.Answer(model, prompt, tokens), "")
	t.Judge.Sent(id, headers[entry.HeaderKey], headers[entry.HeaderOnce] == "true", model, want)
	start := time.Now()
	status, h, body, err := t.Site.Complete(ctx, node, model, prompt, tokens, with(headers, id))
	s := seen.NewSeen(status, h, body, err, time.Since(start))
	if status == 200 {
		s = s.WithText(site.Text(body))
	}
	t.Judge.Got(id, s.Status, s.Verdict, s.Whole, s.Text)
	return s
}

// Book sends a booking, which is non-idempotent, to a node and has the judge watch it. An empty key sends none.
func (t *Trial) Book(ctx context.Context, node int, key, body string) seen.Seen {
	id := t.ID()
	headers := map[string]string{"Content-Type": bookingType}
	if key != "" {
		headers[entry.HeaderKey] = key
	}
	t.Judge.Sent(id, key, true, "", string(plain.Answer("POST", bookingPath, bookingType, []byte(body))))
	start := time.Now()
	status, h, answer, err := t.Site.Book(ctx, node, bookingPath, body, with(headers, id))
	s := seen.NewSeen(status, h, answer, err, time.Since(start))
	t.Judge.Got(id, s.Status, s.Verdict, s.Whole, s.Text)
	return s
}

func with(headers map[string]string, id string) map[string]string {
	all := maps.Clone(headers)
	if all == nil {
		all = map[string]string{}
	}
	all[entry.HeaderRequest] = id
	return all
}
