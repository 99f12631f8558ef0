package outbox_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"damaskreach/internal/outbox"
)

// Thousands of texts wait, and one that matters comes last. It must go with the next message, and the others one after the other.
func TestUrgentTextsGoFirst(t *testing.T) {
	var o outbox.Outbox
	for n := range 1500 {
		o.Add(fmt.Sprint("text ", n), false)
	}
	o.Add("now", true)
	first := o.Take()
	if got, want := first[0], "now"; got != want {
		t.Errorf("first text = %q, want %q", got, want)
	}
	all := first[1:]
	for list := o.Take(); len(list) > 0; list = o.Take() {
		if got, want := len(list), 200; got > want {
			t.Errorf("%d texts in one message, want %d at most", got, want)
		}
		all = append(all, list...)
	}
	for n, text := range all {
		if want := fmt.Sprint("text ", n); text != want {
			t.Fatalf("text %d = %q, want %q", n, text, want)
		}
	}
	if got, want := len(all), 1500; got != want {
		t.Errorf("%d texts, want %d", got, want)
	}
}

// Texts come faster than messages go. They must not fill the memory.
func TestWaitingTextsAreBounded(t *testing.T) {
	var o outbox.Outbox
	for n := range 100_000 {
		o.Add(fmt.Sprint(n), n%2 == 0)
	}
	got := 0
	for list := o.Take(); len(list) > 0; list = o.Take() {
		got += len(list)
	}
	if want := 4000; got != want {
		t.Errorf("%d texts wait, want %d", got, want)
	}
}

// Texts become void before they are sent.
func TestRemovedTextsAreNotSent(t *testing.T) {
	var o outbox.Outbox
	for _, text := range []string{"a 1", "b 1", "a 2"} {
		o.Add(text, text == "a 2")
	}
	o.Remove(func(text string) bool { return strings.HasPrefix(text, "a ") })
	if got, want := o.Take(), []string{"b 1"}; !slices.Equal(got, want) {
		t.Errorf("Take() = %q, want %q", got, want)
	}
}
