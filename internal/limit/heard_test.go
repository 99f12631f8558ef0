package limit_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/call"
	"damaskreach/internal/limit"
	"damaskreach/internal/tenant"
)

const (
	siteNodes = 7
	allowed   = 70
	unit      = "requests/tenant/t"
)

// try sends calls to a node and returns how many it admits.
func try(l *limit.Limit, now time.Time, count int) int {
	admitted := 0
	for i := range count {
		c := call.Call{ID: fmt.Sprint(now, i), Adapter: "a", Tenant: "t"}
		if l.Admit(now, c, adapt.Adapter{Name: "a"}, tenant.Tenant{Name: "t", Requests: allowed}) == nil {
			admitted++
		}
	}
	return admitted
}

func joined() *limit.Limit {
	l := limit.NewLimit(limit.Learnt)
	l.Among(siteNodes - 1)
	return l
}

// The node that gathers the use of a limit dies, and for as long as its session lasts nobody answers the others. If each
// took its part of what it believes to be left every second, a tenant would get its limit several times.
func TestSilentHomeLetsNothingMoreThrough(t *testing.T) {
	total := 0
	for range siteNodes {
		l := joined()
		l.Learn(start, "home", true, map[string]float64{unit: 0})
		for second := range 18 {
			total += try(l, start.Add(time.Duration(second)*time.Second), 20)
		}
	}
	if total < allowed-siteNodes || total > allowed+siteNodes {
		t.Errorf("admitted by all nodes in a minute: got %d, want %d to %d", total, allowed-siteNodes, allowed+siteNodes)
	}
}

// Another node becomes the home of a limit and has not heard of all nodes. What the former home told counts for a minute
// yet: callers that had used their limit up would get it once more each time that a node is replaced.
func TestNewHomeDoesNotOpenTheLimit(t *testing.T) {
	l := joined()
	l.Learn(start, "first", true, map[string]float64{unit: allowed})
	for second := range 59 {
		now := start.Add(time.Duration(second) * time.Second)
		if second > 0 {
			l.Learn(now, "second", true, map[string]float64{unit: 0})
		}
		if got := try(l, now, 1); got != 0 {
			t.Fatalf("%d s after the limit was used up elsewhere: got %d calls admitted, want none", second, got)
		}
	}
	now := start.Add(62 * time.Second)
	l.Learn(now, "second", true, map[string]float64{unit: 0})
	if got := try(l, now, 1); got != 1 {
		t.Errorf("a minute later: got %d calls admitted, want 1", got)
	}
}

// A node gets its first calls of a tenant while a new home has not heard of the nodes that used the limit up.
// Its part of a whole limit would be too much; one call is within the bound.
func TestUnsureHomeIsNoBeginning(t *testing.T) {
	l := joined()
	l.Learn(start, "home", false, map[string]float64{unit: 0})
	if got := try(l, start, 20); got != 1 {
		t.Errorf("not sure: got %d calls admitted, want 1", got)
	}
	now := start.Add(2 * time.Second)
	l.Learn(now, "home", true, map[string]float64{unit: 0})
	if got := try(l, now, 20); got != (allowed-1)/siteNodes {
		t.Errorf("sure: got %d calls admitted, want the node's part of what is left, %d", got, (allowed-1)/siteNodes)
	}
}
