package hostdb_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/host"
	"damaskreach/internal/hosts"
	"damaskreach/internal/stand/hostdb"
	"damaskreach/internal/stand/memnet"
)

const listAddr = "10.0.1.1:7002"

// client returns a client of the host list that handler serves.
func client(t *testing.T, handler http.Handler) hosts.Hosts {
	n := memnet.NewNet(1)
	l, err := n.Listen(listAddr)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", listAddr, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	t.Cleanup(func() { n.Kill("10.0.0.1") })
	return hosts.NewHosts([]string{listAddr}, n.Dial("10.0.0.1"))
}

func wantList(t *testing.T, h hosts.Hosts, want ...host.Host) {
	t.Helper()
	got, err := h.List(t.Context())
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("List = %v, %v, want %v, nil", got, err, want)
	}
}

// Hosts come, leave and go. The list shows each change a while after it took place.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := hostdb.NewDB()
		list := client(t, db.Handler())
		one := host.Host{Addr: "10.0.0.7", Centre: "medeu", State: host.Live}
		db.SetLag(30 * time.Second)
		db.Set(one)
		wantList(t, list)
		time.Sleep(30 * time.Second)
		wantList(t, list, one)
		wantList(t, db.Hosts(), one)
		db.Set(one.WithState(host.Gone))
		time.Sleep(29 * time.Second)
		wantList(t, list, one)
		time.Sleep(time.Second)
		wantList(t, list, one.WithState(host.Gone))
	})
}

// The list is wrong: it shows a dead host as live and a live one as gone.
func TestListLies(t *testing.T) {
	db := hostdb.NewDB()
	dead := host.Host{Addr: "10.0.0.7", Centre: "medeu", State: host.Gone}
	live := host.Host{Addr: "10.0.0.8", Centre: "medeu", State: host.Live}
	db.Set(dead)
	db.Set(live)
	db.Lie(dead.Addr, host.Live)
	db.Lie(live.Addr, host.Gone)
	wantList(t, db.Hosts(), dead.WithState(host.Live), live.WithState(host.Gone))
	db.Lie(dead.Addr, "")
	db.Lie(live.Addr, "")
	wantList(t, db.Hosts(), dead, live)
}

// The service is down, slower than its caller waits, or answers with something that is no list.
// The caller gets an error; it must never take that for an empty or shorter list.
func TestFailuresAreNoList(t *testing.T) {
	down, slow := hostdb.NewDB(), hostdb.NewDB()
	down.SetDown(true)
	slow.SetSlow(time.Minute)
	for name, handler := range map[string]http.Handler{
		"down":      down.Handler(),
		"slow":      slow.Handler(),
		"not found": http.NotFoundHandler(),
		"null":      text("null"),
		"cut":       text(`[{"addr":"10.0.0.7","state":"live"},`),
		"state":     text(`[{"addr":"10.0.0.7","state":"resting"}]`),
		"address":   text(`[{"state":"live"}]`),
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if got, err := client(t, handler).List(ctx); !errors.Is(err, hosts.ErrFailed) {
				t.Errorf("%s: List = %v, %v, want %v", name, got, err, hosts.ErrFailed)
			}
		})
	}
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }
}
