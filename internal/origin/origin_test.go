package origin_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/began"
	"damaskreach/internal/origin"
)

var start = time.Unix(1000, 0)

// A caller comes back as late as callers may, while other streams begin all the time. Forgotten, its stream would be refused.
func TestStreamIsRememberedForItsRetention(t *testing.T) {
	o := origin.NewOrigin()
	o.Add(began.Began{Attempt: "a", Group: "g", Build: "v1"}, start)
	for second := range 60 {
		o.Add(began.Began{Attempt: fmt.Sprint(second), Group: "h", Build: "v2"}, start.Add(time.Duration(second)*time.Second))
	}
	if got, ok := o.Find("a"); !ok || got.Build != "v1" {
		t.Errorf("Find() = %+v, %v, want build v1", got, ok)
	}
	if got, want := len(o.Group("g")), 1; got != want {
		t.Errorf("%d streams of the group, want %d", got, want)
	}
}

// Streams begin for hours. If all were kept, a host would run out of memory.
func TestOldStreamsAreForgotten(t *testing.T) {
	o := origin.NewOrigin()
	for n := range 100_000 {
		o.Add(began.Began{Attempt: fmt.Sprint(n), Group: "g", Build: "v1"}, start)
	}
	if got, want := len(o.Group("g")), 40_000; got > want {
		t.Errorf("%d streams are kept, want %d at most", got, want)
	}
	o.Add(began.Began{Attempt: "b", Group: "h"}, start.Add(origin.Retention))
	o.Add(began.Began{Attempt: "c", Group: "h"}, start.Add(2*origin.Retention))
	if got, want := len(o.Group("g")), 0; got != want {
		t.Errorf("%d streams are kept after two retentions, want %d", got, want)
	}
}
