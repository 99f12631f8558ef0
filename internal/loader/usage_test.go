package loader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/loader"
	"damaskreach/internal/usage"
)

// reportedRequests returns what the loader reports of the fake engine's requests.
func reportedRequests(l *loader.Loader) (n int, reported bool) {
	n, reported = l.RunningRequests(func(string) bool { return true })["e"]
	return n, reported
}

// The last request on an engine has ended. If the engine were no longer reported, other hosts would keep its last count for
// seconds and send all requests to its neighbours.
func TestIdleEngineIsReportedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoaded(t, newEngine(2))
		time.Sleep(10 * time.Second)
		if n, reported := reportedRequests(l); reported {
			t.Errorf("a long idle engine is reported with %d requests, want it left out", n)
		}
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: 4}}, time.Now())
		if n, _ := reportedRequests(l); n != 4 {
			t.Fatalf("requests = %d, want 4", n)
		}
		time.Sleep(time.Second)
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		for range 4 {
			if n, reported := reportedRequests(l); n != 0 || !reported {
				t.Errorf("requests = %d, reported = %v, want 0 and reported while other hosts keep the last count", n, reported)
			}
			time.Sleep(time.Second)
		}
	})
}
