package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/timing"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	kindStream = "text/event-stream"
	eventDone  = "data: [DONE]\n\n"

	writeTimeout = 30 * time.Second // for a caller to take a piece
	mostKept     = 64 << 10         // bytes of an answer remembered for repeats
)

// sink writes one answer to its caller and remembers how far it got.
type sink struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	kind    string
	started bool // head was written
	token   int  // last token written
	timing  timing.Timing
	buffer  []byte
	usage   int  // answer tokens that a plain answer states
	ran     bool // the call may have run
	status  int
	keep    bool   // remember the answer for repeats
	kept    []byte // what was written, up to mostKept
	lasting bool   // go on without the caller, for its repeats
	deaf    bool   // the caller is gone and the answer is only remembered
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, flush: http.NewResponseController(w), timing: timing.Timing{Start: time.Now()}}
}

// head takes status and content type; a retried or resumed attempt must not change what was written.
func (s *sink) head(status int, kind string) error {
	if s.started {
		if kind != s.kind {
			return merry.Errorf("resuming an answer: content type changed from %q to %q", s.kind, kind)
		}
		return nil
	}
	s.kind = kind
	s.status = status
	s.started = true
	s.w.Header().Set("Content-Type", kind)
	s.w.Header().Set(HeaderVerdict, verd.Ran.String())
	if kind == kindStream {
		// The verdict of a stream is only known at its end, which marks it whole or cut.
		s.w.Header().Set(HeaderVerdict, verd.MayHaveRun.String())
	}
	s.w.WriteHeader(status)
	return nil
}

func (s *sink) emit(token int, piece []byte) error {
	if token > 0 && token <= s.token {
		return nil // already written before a resume
	}
	now := time.Now()
	if s.timing.First.IsZero() {
		s.timing.First = now
	}
	s.timing.End = now
	s.timing.Count++
	s.token = max(token, s.token)
	if token == 0 {
		s.usage += usage(piece)
	}
	return s.write(piece)
}

// tokens returns how many answer tokens the call has had.
func (s *sink) tokens() int {
	return max(s.token, s.usage)
}

type usageBody struct {
	Usage usageCount `json:"usage"`
}

type usageCount struct {
	Tokens int `json:"completion_tokens"`
}

// usage returns the answer tokens that a whole JSON answer states, or 0.
func usage(answer []byte) int {
	var body usageBody
	if json.Unmarshal(answer, &body) != nil {
		return 0
	}
	return body.Usage.Tokens
}

func (s *sink) write(piece []byte) error {
	if s.kind != kindStream {
		return s.put(piece)
	}
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, piece...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.put(s.buffer)
}

// put writes to the caller. A caller that takes nothing for writeTimeout counts as gone; a lasting
// answer goes on without it.
func (s *sink) put(data []byte) error {
	if s.keep && len(s.kept) <= mostKept {
		s.kept = append(s.kept, data...)
	}
	if s.deaf {
		return nil
	}
	_ = s.flush.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer has deadlines
	_, err := s.w.Write(data)
	if err == nil && s.kind == kindStream {
		err = s.flush.Flush()
	}
	if err != nil && s.lasting {
		s.deaf = true
		return nil
	}
	return err
}

// done ends a whole answer.
func (s *sink) done() {
	s.timing.End = time.Now()
	if s.kind == kindStream {
		_ = s.put([]byte(eventDone)) // the caller may be gone
	}
}

// cut ends an answer that broke off, so that nobody takes it for whole: a stream ends with an error event and
// without its end mark, and every cut answer's connection is broken.
func (s *sink) cut(r *refuse.Refusal) {
	if s.kind == kindStream {
		text, err := json.Marshal(newErrorBody(withRetry(r)))
		if err == nil {
			_, _ = s.w.Write([]byte("event: error\n"))
			_ = s.write(text)
		}
	}
	panic(http.ErrAbortHandler)
}
