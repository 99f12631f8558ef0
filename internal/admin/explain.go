package admin

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/event"
	"damaskreach/internal/query"
)

// explained is the answer to a question about decisions.
type explained struct {
	Events []said   `json:"events"`
	Silent []string `json:"silent"` // nodes that did not answer, and "table" where what outlasts nodes could not be read
}

type said struct {
	event.Event
	Text string `json:"text"` // one plain sentence with its figures
}

// serveExplain answers with the decisions about a request, adapter, runner or time, oldest first.
func (a *Admin) serveExplain(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r.URL.Query(), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, silent := a.Explain(r.Context(), q)
	answer := explained{Events: []said{}, Silent: append([]string{}, silent...)}
	for _, e := range events {
		answer.Events = append(answer.Events, said{Event: e, Text: e.Why.String()})
	}
	writeJSON(w, answer)
}

func parseQuery(v url.Values, now time.Time) (query.Query, error) {
	q := query.Query{Request: v.Get("request"), Adapter: v.Get("adapter"), Runner: v.Get("runner"), Kind: v.Get("kind"), About: v.Get("about")}
	var err error
	if q.Since, err = parseTime(v.Get("since"), now); err != nil {
		return q, merry.Prepend(err, "since")
	}
	if q.Until, err = parseTime(v.Get("until"), now); err != nil {
		return q, merry.Prepend(err, "until")
	}
	if text := v.Get("most"); text != "" {
		if q.Most, err = strconv.Atoi(text); err != nil || q.Most < 1 {
			return q, merry.Errorf("most: %q is not a number of at least 1", text)
		}
	}
	return q, nil
}

// parseTime reads a time such as 2006-01-02T15:04:05Z, or a span such as 10m that lies so far back.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if back, err := time.ParseDuration(text); err == nil {
		return now.Add(-back), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, merry.Errorf("%q is neither a time such as 2006-01-02T15:04:05Z nor a span such as 10m", text)
	}
	return at, nil
}
