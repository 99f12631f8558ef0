//go:build !race

// Package deliv_test tests the delivery of requests and answers while parts of a site fail, in virtual time.
package deliv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/site"
	"damaskreach/internal/trial"
)

// pass lets virtual time pass.
func pass(d time.Duration) {
	time.Sleep(d)
}

// run starts a trial in a synctest bubble, calls test, and then checks the records of all callers and upstreams.
func run(t *testing.T, nodes, engines, plains int, test func(t *testing.T, f *trial.Trial)) {
	t.Helper()
	runSet(t, nodes, engines, plains, func(*trial.Trial) {}, test)
}

// runSet is like run, with settings that are changed before the start.
func runSet(t *testing.T, nodes, engines, plains int, set func(f *trial.Trial), test func(t *testing.T, f *trial.Trial)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := trial.NewTrial(1, nodes, engines, plains)
		set(f)
		if err := f.Start(); err != nil {
			t.Fatalf("Start = %v, want nil", err)
		}
		test(t, f)
		f.Stop()
		for _, breach := range f.Breaches() {
			t.Error(breach)
		}
	})
}

func siteHost(node int) string {
	return site.Host(node)
}
