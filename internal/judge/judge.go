// Package judge compares what callers saw with what the stand-in upstreams executed.
//
// It reads the callers' and the upstreams' own records only, none of the nodes', so a node cannot hide its faults.
package judge

import (
	"fmt"
	"net/http"
	"sync"

	"damaskreach/internal/stand/recrd"
	"damaskreach/pkg/verd"
)

// Judge collects callers' requests and outcomes. It may be used from several goroutines.
type Judge struct {
	mu   sync.Mutex
	seen map[string]*request // by request id
}

type request struct {
	key     string // idempotency key; empty for none
	once    bool   // non-idempotent
	model   string // adapter@version asked for; empty for a plain service
	want    string // whole answer
	ended   bool
	whole   bool // the caller got an answer that calls itself whole
	got     string
	verdict string
	status  int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{seen: map[string]*request{}}
}

// Sent records a request before it is sent: its id and idempotency key, whether it may run once only, the model it asks
// for, and the answer it must get. Repeats with one key have ids of their own.
func (j *Judge) Sent(id, key string, once bool, model, want string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seen[id] = &request{key: key, once: once, model: model, want: want}
}

// Got records a caller's outcome: status and verdict header (0 and empty where no answer came), and the answer's text.
// Whole says that the answer came to its proper end.
func (j *Judge) Got(id string, status int, verdict string, whole bool, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.seen[id]
	r.ended = true
	r.whole = whole && status == http.StatusOK
	r.got = text
	r.verdict = verdict
	r.status = status
}

// Breaches returns what was wrong, one sentence each, given every upstream's records.
func (j *Judge) Breaches(records []recrd.Record) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := map[string][]recrd.Record{}
	keyed := map[string][]recrd.Record{}
	var found []string
	for _, rec := range records {
		runs[rec.Request] = append(runs[rec.Request], rec)
		keyed[rec.Key] = append(keyed[rec.Key], rec)
		if j.seen[rec.Request] == nil {
			found = append(found, fmt.Sprintf("request %s ran and no caller sent it", rec.Request))
		}
	}
	for id, r := range j.seen {
		all := runs[id]
		if r.key != "" {
			all = keyed[r.key]
		}
		found = append(found, r.breaches(id, runs[id], all)...)
	}
	return found
}

// breaches takes the executions of this request and those of all requests with its key.
func (r *request) breaches(id string, runs, all []recrd.Record) []string {
	var found []string
	say := func(wrong bool, format string, args ...any) {
		if wrong {
			found = append(found, "request "+id+" "+fmt.Sprintf(format, args...))
		}
	}
	say(!r.ended, "never got an answer")
	say(r.once && len(all) > 1, "is non-idempotent and ran %d times", len(all))
	say(r.verdict == verd.NotRun.String() && len(runs) > 0, "was refused as not run and ran %d times", len(runs))
	say(r.whole && r.got != r.want, "got %q, want %q", r.got, r.want)
	say(r.whole && !anyWhole(all), "got a whole answer and no upstream gave one")
	for _, run := range runs {
		say(run.Model != r.model, "ran on %q, want %q", run.Model, r.model)
	}
	return found
}

func anyWhole(runs []recrd.Record) bool {
	for _, run := range runs {
		if run.End == recrd.Whole {
			return true
		}
	}
	return false
}

// Refused returns the ids of the requests that were answered with a refusal, in no order.
func (j *Judge) Refused() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []string
	for id, r := range j.seen {
		if r.status >= http.StatusBadRequest {
			ids = append(ids, id)
		}
	}
	return ids
}

// Count returns how many requests were answered in full and how many were not, by verdict.
func (j *Judge) Count() (whole int, refused map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	refused = map[string]int{}
	for _, r := range j.seen {
		if r.whole {
			whole++
			continue
		}
		verdict := r.verdict
		if verdict == "" {
			verdict = "no answer"
		}
		refused[verdict]++
	}
	return whole, refused
}
