package objdb_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/object"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/objdb"
)

const (
	clientHost = "10.0.0.1"
	storeAddr  = "10.0.1.1:7001"
)

// run calls test in a bubble, once with the store in process and once over HTTP.
func run(t *testing.T, test func(t *testing.T, db *objdb.DB, store object.Object)) {
	t.Run("direct", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			db := objdb.NewDB()
			test(t, db, db.ObjectFor(clientHost))
		})
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			db := objdb.NewDB()
			n := memnet.NewNet(1)
			serve(t, n, db.Handler())
			test(t, db, object.NewObject([]string{storeAddr}, n.Dial(clientHost)))
			n.Kill(clientHost)
		})
	})
}

func serve(t *testing.T, n *memnet.Net, handler http.Handler) {
	l, err := n.Listen(storeAddr)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", storeAddr, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

func wantPut(t *testing.T, store object.Object, data string, want error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := store.Put(ctx, "snap/1", []byte(data)); !errors.Is(err, want) {
		t.Errorf("Put(%q) = %v, want %v", data, err, want)
	}
}

func wantGet(t *testing.T, store object.Object, want string, wantErr error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	data, err := store.Get(ctx, "snap/1")
	if string(data) != want || !errors.Is(err, wantErr) {
		t.Errorf("Get = %q, %v, want %q, %v", data, err, want, wantErr)
	}
}

func TestPutAndGet(t *testing.T) {
	run(t, func(t *testing.T, _ *objdb.DB, store object.Object) {
		wantGet(t, store, "", object.ErrAbsent)
		wantPut(t, store, "one", nil)
		wantPut(t, store, "two", nil)
		wantGet(t, store, "two", nil)
		wantPut(t, store, "", nil)
		wantGet(t, store, "", nil)
		if err := store.Put(t.Context(), "", nil); !errors.Is(err, object.ErrInvalid) {
			t.Errorf("Put without a name = %v, want %v", err, object.ErrInvalid)
		}
	})
}

// The store is down, and then one client is cut off from it. Nothing is written and nothing can be read.
func TestDown(t *testing.T) {
	run(t, func(t *testing.T, db *objdb.DB, store object.Object) {
		db.SetDown(true)
		wantPut(t, store, "one", object.ErrDown)
		wantGet(t, store, "", object.ErrDown)
		db.SetDown(false)
		wantGet(t, store, "", object.ErrAbsent)
		db.CutClient(clientHost, true)
		wantPut(t, store, "one", object.ErrDown)
	})
}

// The answer to a Put is lost. The caller sees an error, and the object is there.
func TestLostAnswer(t *testing.T) {
	run(t, func(t *testing.T, db *objdb.DB, store object.Object) {
		db.LoseAnswers(1)
		wantPut(t, store, "one", object.ErrLost)
		wantGet(t, store, "one", nil)
	})
}

// The store is slower than its caller waits. The object is written after the caller has left.
func TestSlow(t *testing.T) {
	run(t, func(t *testing.T, db *objdb.DB, store object.Object) {
		db.SetSlow(time.Minute)
		wantPut(t, store, "one", object.ErrLost)
		db.SetSlow(0)
		wantGet(t, store, "", object.ErrAbsent)
		time.Sleep(time.Minute)
		wantGet(t, store, "one", nil)
	})
}

// Something else answers at the store's address, or an answer breaks off in the middle.
// Neither may pass for an absent object or for a whole one.
func TestForeignAndCutAnswers(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"foreign": http.NotFound,
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.NewNet(1)
				serve(t, n, handler)
				wantGet(t, object.NewObject([]string{storeAddr}, n.Dial(clientHost)), "", object.ErrLost)
				n.Kill(clientHost)
			})
		})
	}
}
