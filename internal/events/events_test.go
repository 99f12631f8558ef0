package events_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"damaskreach/internal/events"
)

// An engine that takes over a stream repeats events, leaves one out, or sends comments. Its caller must get each event once, and a gap must end the stream.
func TestPassed(t *testing.T) {
	for _, c := range []struct {
		last, id  string
		goesOn    bool
		has       bool
		want      string
		wantError error
	}{
		{"", "1", true, false, "1", nil},
		{"", "x", true, false, "x", nil},
		{"3", "4", true, false, "4", nil},
		{"3", "3", false, true, "3", nil},
		{"3", "2", false, true, "3", nil},
		{"3", "5", true, false, "3", events.ErrGap},
		{"3", "", false, false, "3", nil},
		{"x", "x", false, false, "x", nil},
		{"x", "y", true, false, "y", nil},
	} {
		p := events.NewPassed(c.last)
		next, err := p.With(c.id)
		if got := p.GoesOnWith(c.id); got != c.goesOn {
			t.Errorf("behind %q, %q brings the stream on = %v, want %v", c.last, c.id, got, c.goesOn)
		}
		if got := p.Has(c.id); got != c.has {
			t.Errorf("behind %q, caller has %q = %v, want %v", c.last, c.id, got, c.has)
		}
		if got := next.Last(); got != c.want || !errors.Is(err, c.wantError) || p.Last() != c.last {
			t.Errorf("behind %q, with %q = %q, %v, want %q, %v", c.last, c.id, got, err, c.want, c.wantError)
		}
	}
}

// A stream ends between two events or within one, or an event does not end. Only the first is a whole stream.
func TestRead(t *testing.T) {
	const most = 32
	for _, c := range []struct {
		text string
		ids  string
		want error
	}{
		{"id: 1\ndata: a\n\nid:2\n\n", "1 2", io.EOF},
		{": comment\n\ndata: a\nid: 7\n\n", " 7", io.EOF},
		{"id: 1\n\nid: 2\n", "1", io.ErrUnexpectedEOF},
		{"id: 1\n\nid", "1", io.ErrUnexpectedEOF},
		{"id: 1\n\ndata: " + strings.Repeat("x", most), "1", events.ErrTooLong},
	} {
		in, ids := bufio.NewReader(strings.NewReader(c.text)), []string{}
		var err error
		for err == nil {
			var event bytes.Buffer
			if err = events.Read(in, &event, most); err == nil {
				ids = append(ids, events.ID(event.Bytes()))
			}
		}
		if got := strings.Join(ids, " "); got != c.ids || !errors.Is(err, c.want) {
			t.Errorf("events of %q = %q, %v, want %q, %v", c.text, got, err, c.ids, c.want)
		}
	}
}
