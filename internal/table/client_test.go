package table_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

const (
	clientHost = "10.0.0.1"
	firstHost  = "10.0.1.1"
	secondHost = "10.0.1.2"
)

// site is a table service on two hosts and a client of it.
type site struct {
	net   *memnet.Net
	db    *rowdb.DB
	table table.Table
}

// runSite runs test in a synctest bubble with a site that serves handler, or the table if that is nil.
func runSite(t *testing.T, handler http.Handler, test func(t *testing.T, s site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := site{net: memnet.NewNet(1), db: rowdb.NewDB()}
		if handler == nil {
			handler = s.db.Handler()
		}
		addrs := []string{firstHost + ":7000", secondHost + ":7000"}
		for _, addr := range addrs {
			serve(t, s.net, addr, handler)
		}
		s.table = table.NewTable(addrs, s.net.Dial(clientHost))
		test(t, s)
		s.net.Kill(clientHost)
	})
}

func serve(t *testing.T, n *memnet.Net, addr string, handler http.Handler) {
	t.Helper()
	l, err := n.Listen(addr)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", addr, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

func (s site) write(t *testing.T, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := s.table.Write(ctx, rows.Row{Key: "a/1", Value: []byte("x")})
	return err
}

func wantError(t *testing.T, name string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s = %v, want %v", name, got, want)
	}
}

func wantRev(t *testing.T, s site, want int64) {
	t.Helper()
	if got := s.db.Rev(); got != want {
		t.Errorf("revision of the service = %d, want %d", got, want)
	}
}

func TestAllOperationsOverHTTP(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		ctx := t.Context()
		rev, err := s.table.Write(ctx, rows.Row{Key: "a/1", Value: []byte("x")}, rows.Row{Key: "a/2"})
		if rev != 1 || err != nil {
			t.Errorf("Write = %d, %v, want 1, nil", rev, err)
		}
		row, err := s.table.Read(ctx, "a/1")
		if string(row.Value) != "x" || row.Rev != 1 || err != nil {
			t.Errorf("Read = %v, %v, want x at 1, nil", row, err)
		}
		found, rev, err := s.table.List(ctx, "a/")
		if len(found) != 2 || rev != 1 || err != nil {
			t.Errorf("List = %v, %d, %v, want two rows, 1, nil", found, rev, err)
		}
		_, err = s.table.Write(ctx, rows.Row{Key: "a/1"}, rows.Row{Key: "a/3"})
		wantError(t, "Write with a stale revision", err, table.ErrConflict)
		if got := table.Conflicts(err); len(got) != 1 || got[0] != "a/1" {
			t.Errorf("Conflicts = %q, want [a/1]", got)
		}
		_, err = s.table.Read(ctx, "a/3")
		wantError(t, "Read of no row", err, table.ErrAbsent)
		_, err = s.table.Write(ctx, rows.Row{})
		wantError(t, "Write without a key", err, table.ErrInvalid)
		s.db.SetHistory(0)
		if _, err = s.table.Write(ctx, rows.Row{Key: "a/2", Rev: 1, Gone: true}); err != nil {
			t.Errorf("deleting = %v, want nil", err)
		}
		found, rev, err = s.table.Tail(ctx, "a/", 1)
		wantError(t, "Tail beyond the history", err, table.ErrCompacted)
		if len(found) != 1 || rev != 2 {
			t.Errorf("Tail = %v, %d, want one row, 2", found, rev)
		}
	})
}

// The service cannot check a revision without a write: a check-only edit sent to it would empty the row.
func TestCheckOnlyEditIsRejected(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		_, err := s.table.Write(t.Context(), rows.Row{Key: "a/1", CheckOnly: true})
		wantError(t, "Write", err, table.ErrInvalid)
		wantRev(t, s, 0)
	})
}

// The service refuses calls: the caller must learn that its write had no effect.
func TestServiceDown(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		s.db.SetDown(true)
		wantError(t, "Write", s.write(t, time.Minute), table.ErrDown)
		wantRev(t, s, 0)
	})
}

// No host of the service is reachable: the caller must learn within its own deadline that nothing was written.
func TestUnreachable(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		s.net.Cut(clientHost, firstHost)
		s.net.Cut(clientHost, secondHost)
		wantError(t, "Write", s.write(t, 500*time.Millisecond), table.ErrDown)
		wantError(t, "Write", s.write(t, time.Minute), table.ErrDown)
		s.net.Heal(clientHost, firstHost)
		s.net.Heal(clientHost, secondHost)
		time.Sleep(time.Hour)
		wantRev(t, s, 0)
	})
}

// The first host of the service is cut off: calls must go to the second one, and stay there.
func TestFailoverToNextAddress(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		s.net.Cut(clientHost, firstHost)
		wantError(t, "Write", s.write(t, time.Minute), nil)
		start := time.Now()
		wantError(t, "Write again", s.write(t, time.Minute), table.ErrConflict)
		if got := time.Since(start); got >= time.Second {
			t.Errorf("the second call took %v, want less than a dial timeout", got)
		}
	})
}

// The connection breaks after a write took effect. The client must neither report it as failed nor send it again.
func TestLostResponse(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		s.db.LoseAnswers(2)
		wantError(t, "Write", s.write(t, time.Minute), table.ErrLost)
		wantRev(t, s, 1)
		wantError(t, "Write again", s.write(t, time.Minute), table.ErrConflict)
	})
}

// The service is slower than the caller's deadline: the write takes effect after the caller has left.
func TestWriteAppliedAfterDeadline(t *testing.T) {
	runSite(t, nil, func(t *testing.T, s site) {
		s.db.SetSlow(time.Minute)
		err := s.write(t, time.Second)
		wantError(t, "Write", err, table.ErrLost)
		wantError(t, "Write", err, context.DeadlineExceeded)
		wantRev(t, s, 0)
		time.Sleep(time.Minute)
		wantRev(t, s, 1)
	})
}

// A kept-alive connection breaks as the next write is sent on it. If http.Transport could replay the body, it would retry silently and
// apply a write twice.
func TestWriteIsNotRetriedOnBrokenConnection(t *testing.T) {
	received := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received++
		if received == 2 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, `{"rev":1}`)
	})
	runSite(t, handler, func(t *testing.T, s site) {
		wantError(t, "first Write", s.write(t, time.Minute), nil)
		wantError(t, "second Write", s.write(t, time.Minute), table.ErrLost)
		if received != 2 {
			t.Errorf("the service received %d writes, want 2", received)
		}
	})
}

// Another server answers at the service's address, or the response is cut short. That does not prove that a write had no effect, or that
// a row does not exist.
func TestForeignResponsesCountAsLost(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"not found":    http.NotFound,
		"no JSON":      func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") },
		"server error": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "{}", http.StatusBadGateway) },
		"redirect":     func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) },
	} {
		runSite(t, answer, func(t *testing.T, s site) {
			wantError(t, name+": Write", s.write(t, time.Minute), table.ErrLost)
			_, err := s.table.Read(t.Context(), "a/1")
			wantError(t, name+": Read", err, table.ErrLost)
		})
	}
}

func TestDialErrorIsNotHidden(t *testing.T) {
	cause := errors.New("no route")
	dial := func(context.Context, string) (net.Conn, error) { return nil, cause }
	_, err := table.NewTable([]string{"10.0.0.9:1"}, dial).Write(t.Context())
	wantError(t, "Write", err, table.ErrDown)
	wantError(t, "Write", err, cause)
}
