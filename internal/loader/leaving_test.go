package loader_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// An engine accepts an unload of an adapter that a request uses, and drops it once that ends; its reports list the adapter until then. Taken for loaded meanwhile,
// it gets requests that the engine rejects, and is not loaded again.
func TestAdapterThatIsBeingUnloadedIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		l := startLoaded(t, e)
		if err := admit(t, l, adapterName(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		time.Sleep(2 * time.Second)
		e.setActive(adapterName(0), true) // by a request that this host does not know of yet
		wanted := make(chan error, 1)
		go func() { wanted <- admit(t, l, adapterName(2)) }()
		time.Sleep(time.Second)
		again := make(chan error, 1)
		go func() { again <- admit(t, l, adapterName(0)) }()
		time.Sleep(500 * time.Millisecond)
		select {
		case err := <-again:
			t.Errorf("admit = %v while the adapter is being unloaded, want it to wait", err)
		default:
		}
		e.setActive(adapterName(0), false)
		for _, admitted := range []chan error{wanted, again} {
			select {
			case err := <-admitted:
				if err != nil {
					t.Errorf("admit = %v once the adapter is unloaded, want none", err)
				}
			case <-time.After(3 * time.Second):
				t.Error("admit goes on 3 s after the adapter is unloaded, want an answer")
			}
		}
		if held := e.heldAdapters(); held[adapterName(0)] == 0 || held[adapterName(2)] == 0 {
			t.Errorf("held = %v, want %s and %s", held, adapterName(0), adapterName(2))
		}
		if e.unloadsInUse != 1 {
			t.Errorf("%d unloads of an adapter that a request uses, want 1", e.unloadsInUse)
		}
	})
}
