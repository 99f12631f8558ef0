package audit_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/audit"
	"damaskreach/internal/event"
	"damaskreach/internal/query"
	"damaskreach/internal/reason"
)

// At peak each request leaves two or three decisions, long request ids among them, and few are refusals. The journal must
// neither grow with that nor lose the refusals that an operator is asked about an hour later.
func TestJournalStaysInItsBoundsAndKeepsWhatIsRare(t *testing.T) {
	const most = 1 << 20
	a := audit.NewAudit(most)
	begin := time.Now()
	for i := range 100_000 {
		at := begin.Add(time.Duration(i) * time.Millisecond)
		a.Add(event.Event{At: at, Request: fmt.Sprintf("request-%0200d", i), Why: reason.Reason{Kind: reason.Started}})
		if i%1000 == 0 {
			a.Add(event.Event{At: at, Request: fmt.Sprint("refused-", i), Why: reason.Reason{Kind: "overloaded", Model: "b@v2", Runner: "r"}})
		}
		if a.Bytes() > most {
			t.Fatalf("holds %d bytes after %d requests, want at most %d", a.Bytes(), i, most)
		}
	}
	for name, q := range map[string]query.Query{
		"adapter": {Adapter: "b"}, "version": {Adapter: "b@v2"}, "runner": {Runner: "r"}, "kind": {Kind: "overloaded"}, "about": {About: "b"},
	} {
		if got := len(a.Find(q)); got != 100 {
			t.Errorf("by %s: %d decisions, want 100", name, got)
		}
	}
	if got := a.Find(query.Query{Request: "refused-0"}); len(got) != 1 {
		t.Errorf("the first refusal: got %v, want it", got)
	}
	late := a.Find(query.Query{Since: begin.Add(99_990 * time.Millisecond), Until: begin.Add(99_995 * time.Millisecond)})
	if len(late) != 6 {
		t.Errorf("by time: %d decisions, want 6", len(late))
	}
	if got := a.Find(query.Query{Most: 3}); len(got) != 3 || !got[2].At.Equal(begin.Add(99_999*time.Millisecond)) {
		t.Errorf("the newest three: got %v", got)
	}
}
