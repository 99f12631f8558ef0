package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slots and queue are those of the sheet's application service: so many requests run at once, so many wait.
	slots, queue = 6, 24
	// workTime is the sheet's mean time of a request.
	workTime = 30 * time.Millisecond
	// restartTime is how long a crashed runner is away.
	restartTime = 2 * time.Second
)

// run is one request that a runner began to work on.
type run struct {
	attempt, runner string
	at              time.Time
}

// runner is a stand-in for a runner of a plain service, or for an engine that no request asks for.
type runner struct {
	site          *site
	service, zone string
	number        int // among those of its service
	addr          string
	engine        bool
	faults        *faults

	work chan struct{} // one entry for each request that runs or waits
	slot chan struct{} // one entry for each request that runs

	mu       sync.Mutex
	id       string // of this boot
	born     time.Time
	listener net.Listener
	conns    map[net.Conn]bool
}

// faults are what a runner of the case does beside its work. A nil function means never.
type faults struct {
	mu   sync.Mutex
	runs []run
	// extra returns bytes that belong to no request and come where the answer to the next request on a channel is expected.
	extra func(r *runner) string
	// crashes reports whether a request crashes the runner that begins to run it.
	crashes func(q *http.Request) bool
}

func (f *faults) record(one run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, one)
}

func newRunner(s *site, service string, number int, engine bool, f *faults) (*runner, error) {
	r := &runner{
		site: s, service: service, zone: zones[number%len(zones)], number: number, engine: engine, faults: f,
		work: make(chan struct{}, slots+queue), slot: make(chan struct{}, slots),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.addr = l.Addr().String()
	r.boot(l)
	return r, nil
}

// boot begins a new life with a new id.
func (r *runner) boot(l net.Listener) {
	r.mu.Lock()
	r.id, r.born, r.listener, r.conns = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now(), l, map[net.Conn]bool{}
	id := r.id
	r.mu.Unlock()
	r.site.rec.line("runner %s of %s boots at %s", id, r.service, r.addr)
	r.beat(id)
	go r.beats(id)
	go r.accept(l, id)
}

// beats writes the registration at each interval of this life.
func (r *runner) beats(id string) {
	for range time.Tick(beatInterval) {
		if r.boots(id) {
			r.beat(id)
			continue
		}
		// The entry of a runner that crashed is removed after three intervals of silence.
		time.Sleep((silentBeats - 1) * beatInterval)
		r.site.store.put("servers", id, nil)
		return
	}
}

// boots reports whether this is still the life with an id.
func (r *runner) boots(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id == id && r.listener != nil
}

func (r *runner) beat(id string) {
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": r.born.UnixMilli(),
	}
	if r.engine {
		entry["stage"], entry["models"] = "unified", []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}
	}
	r.site.store.put("servers", id, entry)
}

func (r *runner) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		alive := r.id == id && r.listener != nil
		if alive {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if !alive {
			c.Close()
			return
		}
		go r.serve(c, id)
	}
}

// crash ends this life without a word and begins the next after some seconds.
func (r *runner) crash(id string) {
	r.mu.Lock()
	if r.id != id || r.listener == nil {
		r.mu.Unlock()
		return
	}
	r.listener.Close()
	r.listener = nil
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.site.rec.line("runner %s crashes", id)
	time.AfterFunc(restartTime, func() {
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			r.site.rec.line("runner at %s cannot start: %v", r.addr, err)
			return
		}
		r.boot(l)
	})
}

// serve answers the requests of one channel, one at a time.
func (r *runner) serve(c net.Conn, id string) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	pending := "" // bytes that belong to no request and have not been sent yet
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if pending != "" {
			r.site.rec.line("runner %s sends bytes of no request before its answer to %s: %q", id, q.Header.Get("X-Attempt-Id"), pending)
		}
		answer, ok := r.answer(q, body, id)
		if !ok {
			return
		}
		if pending != "" {
			// They come at once, the answer when the work is done.
			if _, err := io.WriteString(c, pending); err != nil {
				r.site.rec.line("runner %s: the channel was closed before the bytes of no request", id)
			}
			pending = ""
		}
		if _, err := io.WriteString(c, answer()); err != nil {
			return
		}
		if r.faults.extra != nil && !strings.HasPrefix(q.URL.Path, "/-/") {
			pending = r.faults.extra(r)
		}
	}
}

// answer takes a request and returns what gives its answer, or false if the runner has crashed.
func (r *runner) answer(q *http.Request, body []byte, id string) (give func() string, ok bool) {
	attempt := q.Header.Get("X-Attempt-Id")
	plain := func(status, headers, text string) func() string {
		return func() string {
			if attempt != "" {
				headers += "X-Attempt-Id: " + attempt + "\r\n"
			}
			return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(text), text)
		}
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		return plain("421 Misdirected Request", "X-Instance-Id: "+id+"\r\n", ""), true
	}
	switch q.URL.Path {
	case "/-/report":
		return plain("200 OK", "Content-Type: application/json\r\n", fmt.Sprintf(
			`{"stage":"unified","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":132765,"handles":0,"born":%d}`,
			r.born.UnixMilli())), true
	case "/-/order":
		return plain("409 Conflict", "", ""), true
	case "/healthz":
		return plain("200 OK", "X-Instance-Id: "+id+"\r\n", ""), true
	}
	select {
	case r.work <- struct{}{}:
	default:
		return plain("503 Service Unavailable", "X-Not-Executed: 1\r\n", ""), true
	}
	r.slot <- struct{}{}
	r.faults.record(run{attempt: attempt, runner: id, at: time.Now()})
	r.site.rec.line("runner %s runs %s: %s %s, tenant %q, %d bytes", id, attempt, q.Method, q.URL.Path, q.Header.Get("X-Tenant"), len(body))
	if r.faults.crashes != nil && r.faults.crashes(q) {
		<-r.slot
		<-r.work
		r.crash(id)
		return nil, false
	}
	return func() string {
		time.Sleep(workTime)
		<-r.slot
		<-r.work
		return plain("200 OK", "X-Server-Stamp: "+id+"\r\n", "result of "+attempt)()
	}, true
}
