// Package seen holds what a caller saw of one request.
package seen

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/pkg/verd"
)

// Seen is the outcome of one request as its caller saw it.
type Seen struct {
	Status  int           // HTTP status; 0 where no answer came
	Verdict string        // verdict header; may-have-run where no answer came
	Code    string        // of a refusal
	Why     string        // message of a refusal
	Text    string        // of the answer
	Whole   bool          // an answer that came to its proper end
	Retry   time.Duration // of Retry-After; 0 where there was none
	Replay  bool          // an answer given again to a repeat
	Took    time.Duration
}

type errorBody struct {
	Error detail `json:"error"`
}

type detail struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Retry   float64 `json:"retry_after_seconds"`
}

// NewSeen reads a caller's outcome. The body is whole unless err is set; took is how long all of it took.
func NewSeen(status int, h http.Header, body []byte, err error, took time.Duration) Seen {
	s := Seen{Status: status, Verdict: h.Get(entry.HeaderVerdict), Text: string(body), Took: took}
	s.Whole = err == nil && status == http.StatusOK
	s.Replay = h.Get(entry.HeaderReplayed) == "true"
	if s.Verdict == "" {
		s.Verdict = verd.MayHaveRun.String()
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		s.Retry = time.Duration(seconds) * time.Second
	}
	var refused errorBody
	if status != http.StatusOK && json.Unmarshal(body, &refused) == nil {
		s.Code, s.Why = refused.Error.Code, refused.Error.Message
	}
	return s
}

const errorEvent = "event: error\ndata: "

// WithText returns a copy with the text of a streamed answer and whether the stream came to its end. Where the stream
// ends in an error event, its code is the copy's.
func (s Seen) WithText(text string, whole bool) Seen {
	if _, event, cut := strings.Cut(s.Text, errorEvent); cut {
		var refused errorBody
		if json.Unmarshal([]byte(strings.TrimSpace(event)), &refused) == nil {
			s.Code, s.Why = refused.Error.Code, refused.Error.Message
			s.Retry = time.Duration(refused.Error.Retry * float64(time.Second))
		}
	}
	s.Text = text
	s.Whole = s.Whole && whole
	return s
}
