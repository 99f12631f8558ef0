package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	usualTokens  = 128 // answer tokens expected where the caller names no bound
	prefixBytes  = 256 // of the prompt, that prefix-cache affinity looks at
	mostHeader   = 256 // bytes of a request id or idempotency key
	mostPriority = 9
	headerMarks  = len(": \r\n")
	bodyTimeout  = 30 * time.Second // for a caller to send a request's body
	modelField   = "model"
)

// question is what the model paths read of a body; everything else is passed on unread.
type question struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *int            `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refuse.Refusal) {
	// A caller that sends its body byte by byte would hold its connection and a part of the memory for as long as it likes.
	flow := http.NewResponseController(w)
	_ = flow.SetReadDeadline(time.Now().Add(bodyTimeout)) // not every reader has deadlines
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBody))
	if err == nil {
		_ = flow.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "the body exceeds %d bytes", e.MaxBody)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refuse.NewRefusal(verd.NotRun, refuse.SlowBody, "the body did not arrive within %s", bodyTimeout)
	}
	if err != nil {
		return nil, badRequest("reading the body: %v", err)
	}
	return body, nil
}

// headerSize returns the bytes of a request's line and headers as the caller may have sent them.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerMarks
		}
	}
	return size
}

func parseQuestion(body []byte) (question, *refuse.Refusal) {
	var q question
	if err := json.Unmarshal(body, &q); err != nil {
		return q, badRequest("the body is not a JSON object of the expected form: %v", err)
	}
	if q.Model == "" {
		return q, badRequest(`the body names no "model"`)
	}
	if q.MaxTokens != nil && *q.MaxTokens < 1 {
		return q, badRequest(`"max_tokens" is %d, it must be at least 1`, *q.MaxTokens)
	}
	return q, nil
}

// withModel returns the body with its model replaced by the adapter version that was resolved.
func withModel(body []byte, model string) ([]byte, *refuse.Refusal) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the body is not a JSON object: %v", err)
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, badRequest("the model name cannot be encoded: %v", err)
	}
	for field := range fields {
		// JSON decoders that ignore case, as Go's does, would let a field such as "Model" overrule the model resolved here.
		if strings.EqualFold(field, modelField) {
			delete(fields, field)
		}
	}
	fields[modelField] = name
	changed, err := json.Marshal(fields)
	if err != nil {
		return nil, badRequest("the body cannot be encoded: %v", err)
	}
	return changed, nil
}

func (q question) prefix() string {
	opening := q.Prompt
	if len(opening) == 0 {
		opening = q.Messages
	}
	if len(opening) > prefixBytes {
		opening = opening[:prefixBytes]
	}
	sum := sha256.Sum256(opening)
	return hex.EncodeToString(sum[:8])
}

// withHeaders adds what callers say in headers.
func withHeaders(c call.Call, h http.Header) (call.Call, *refuse.Refusal) {
	c.ID = h.Get(HeaderRequest)
	if c.ID == "" {
		c.ID = rand.Text()
	}
	c.Key = h.Get(HeaderKey)
	if len(c.ID) > mostHeader || len(c.Key) > mostHeader {
		return c, badRequest("%s and %s have at most %d bytes", HeaderRequest, HeaderKey, mostHeader)
	}
	c.Class = h.Get(HeaderClass)
	var refusal *refuse.Refusal
	if c.NonIdempotent, refusal = parseOnce(h.Get(HeaderOnce), c.NonIdempotent); refusal != nil {
		return c, refusal
	}
	if c.Priority, refusal = parsePriority(h.Get(HeaderPriority)); refusal != nil {
		return c, refusal
	}
	c.Deadline, refusal = parseTimeout(h.Get(HeaderTimeout))
	return c, refusal
}

func parseOnce(text string, usual bool) (bool, *refuse.Refusal) {
	if text == "" {
		return usual, nil
	}
	once, err := strconv.ParseBool(text)
	if err != nil {
		return usual, badRequest("%s is %q, it must be true or false", HeaderOnce, text)
	}
	return once, nil
}

func parsePriority(text string) (int, *refuse.Refusal) {
	if text == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil || priority < -mostPriority || priority > mostPriority {
		return 0, badRequest("%s is %q, it must be an integer from -%d to %d", HeaderPriority, text, mostPriority, mostPriority)
	}
	return priority, nil
}

func parseTimeout(text string) (time.Time, *refuse.Refusal) {
	if text == "" {
		return time.Time{}, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return time.Time{}, badRequest("%s is %q, it must be a duration above 0 such as 5s", HeaderTimeout, text)
	}
	return time.Now().Add(timeout), nil
}

// tenantKey returns the API key of a request.
func tenantKey(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}
