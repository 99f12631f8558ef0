//go:build !race

package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A host that waits for its turn among all hosts, most of which have no engine to load a base model to, waits for nobody.
func TestBaseModelsOfFewAddedEnginesAreLoadedSoonWithManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(t, 4*scaleHosts, scaleEngines, unlimited)
		f.addEmpty(scaleAdded)
		time.Sleep(takesWork)
		f.wantBases(takesWork)
	})
}

// addEmpty adds engines that hold nothing.
func (f *farm) addEmpty(count int) {
	f.added = time.Now()
	for i := range count {
		f.addEngine(fmt.Sprint("new", i), false)
	}
}

// wantBases checks that all engines that were added hold their base model, each within a bound.
func (f *farm) wantBases(bound time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.engines {
		at, ok := m.there[""]
		if after := at.Sub(f.added); ok && after > 0 {
			f.t.Logf("%s had its base model %v after it came", id, after)
		}
		if !ok || at.Sub(f.added) > bound {
			f.t.Errorf("%s has no base model within %v", id, bound)
		}
	}
}
