package room_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/room"
)

const (
	size = 1 << 20
	half = size / 2

	callers, others = "callers", "others"    // groups
	long            = 600 * time.Millisecond // without a byte, after which a caller counts as stalled
)

// caller is one connection with a part of a room.
type caller struct {
	*room.Room
	dropped bool
}

// begin returns a caller that has begun a request and holds some bytes of it. A caller that is dropped gives back what it holds.
func begin(t *testing.T, r *room.Room, bytes int64) *caller {
	c := &caller{}
	c.Room = r.Part(callers, func() {
		c.dropped = true
		go c.Close()
	})
	c.Begin()
	if bytes > 0 && !c.Take(bytes) {
		t.Fatalf("no room for %d bytes, want some", bytes)
	}
	return c
}

// Callers stop short of the end of long bodies and keep their connections open. Not dropped, they would keep all others out until their deadlines.
func TestStalledCallersAreDroppedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := room.NewRoom(size, func() {})
		first, second, whole := begin(t, r, half/2), begin(t, r, half/2), begin(t, r, half/4)
		whole.Complete()
		time.Sleep(long)
		second.Received(2 << 10)
		other := begin(t, r, 0)
		if !other.Take(half) {
			t.Error("no room for another caller, want that of the one that has stalled")
		}
		if !first.dropped || second.dropped || whole.dropped {
			t.Errorf("dropped = %v, %v, %v, want the one that has stalled alone", first.dropped, second.dropped, whole.dropped)
		}
		if whole.Complete() != true || first.Complete() != false {
			t.Error("a request counts as kept whose caller was dropped, or the other way round")
		}
	})
}

// Callers send single bytes of long bodies. Taken to be sending, they would hold their room as long as they like.
func TestCallersOfSingleBytesCountAsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := room.NewRoom(size, func() {})
		slow := begin(t, r, half)
		for range 10 {
			time.Sleep(long / 10)
			slow.Received(1)
		}
		if other := begin(t, r, 0); !other.Take(half) || !slow.dropped {
			t.Errorf("dropped = %v, want the slow caller to make room", slow.dropped)
		}
	})
}

// All callers send at full speed, and there are too many. If they were dropped for each other, none would ever be served.
func TestSendingCallersAreNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := room.NewRoom(size, func() {})
		sending := begin(t, r, half)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				sending.Received(64 << 10)
			}
		}()
		if other := begin(t, r, 0); other.Take(half) || sending.dropped {
			t.Errorf("another caller got room, or dropped = %v, want neither", sending.dropped)
		}
		if short := begin(t, r, 0); !short.Take(30 << 10) {
			t.Error("a short body found no room, want what is reserved")
		}
		<-done
	})
}

// A host has no room and many callers. While there is room, a slow caller must be left alone, and what it holds must come back at its end.
func TestRoomComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := room.NewRoom(size, func() {})
		slow := begin(t, r, half)
		time.Sleep(time.Minute)
		other := begin(t, r, 8<<10)
		if slow.dropped {
			t.Error("a caller was dropped while there was room, want it kept")
		}
		slow.Give(half / 2)
		if got, want := r.Taken(), int64(half/2-room.Free); got != want {
			t.Errorf("%d bytes are held, want the %d of the slow caller", got, want)
		}
		slow.Wait()
		other.Close()
		if got := r.Taken(); got != 0 {
			t.Errorf("%d bytes are held at the end, want none", got)
		}
	})
}

// All connections are taken. Those that stall in a request must go first, then those that wait for one, and none whose request is whole.
func TestConnectionsThatStallGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := room.NewRoom(size, func() {})
		idle, stalled, whole := begin(t, r, 0), begin(t, r, 0), begin(t, r, 0)
		idle.Wait()
		whole.Complete()
		time.Sleep(long)
		if r.DropOne(others) {
			t.Error("a connection of one group was dropped for another, want none")
		}
		for _, want := range []*caller{stalled, idle} {
			if !r.DropOne(callers) || !want.dropped {
				t.Errorf("dropped: stalled %v, idle %v, want the stalled one and then the idle one", stalled.dropped, idle.dropped)
			}
			synctest.Wait()
		}
		if r.DropOne(callers) {
			t.Error("a connection was dropped whose request is whole, want none")
		}
	})
}

// Callers on whose connections long bodies come keep buffers until they are closed. Taken from the room, or without a bound, they would keep others' bodies out or fill the memory.
func TestWhatPartsKeepIsBoundedApart(t *testing.T) {
	r := room.NewRoom(size, func() {})
	var keeping []*caller
	for range 8 {
		if c := begin(t, r, 0); c.Keep(size / 16) {
			keeping = append(keeping, c)
		}
	}
	if got, want := len(keeping), 4; got != want || r.Taken() != 0 {
		t.Fatalf("%d keep %d bytes each and %d of the room, want %d and none", got, size/16, r.Taken(), want)
	}
	if keeping[0].Keep(1) {
		t.Error("a part keeps bytes twice, want them once")
	}
	keeping[0].Close()
	if other := begin(t, r, 0); !other.Keep(size / 16) {
		t.Error("what was kept did not come back, want it back")
	}
}
