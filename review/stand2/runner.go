package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What the sheet says of the deployment, and its names.
const (
	routeHost     = "ficu95.example"
	engineService = "batch-assist"
	plainService  = "order-desk"
	model         = "m0"
	draft         = "pour-schedule-draft"
	check         = "mix-spec-check"
	book          = "slot-confirm"
	ticket        = "dispatch-ticket"
	slots         = 64
	adapterSlots  = 20
	maxBody       = 4194304
	tokensInEvent = 3
	kvTokens      = 132765
	eventGap      = 40 * time.Millisecond
	loadTime      = 250 * time.Millisecond
	workTime      = 30 * time.Millisecond
	beat          = 1200 * time.Millisecond
	crashDown     = 2 * time.Second
)

// run is one request that a runner has run.
type run struct {
	id     string
	path   string
	runner string
	begun  time.Time
	status int
	body   string // of a whole answer
	ended  time.Time
}

// runner is a stand-in for a sound runner: a model runner, or an application with a few slots.
type runner struct {
	site   *site
	id     string
	addr   string
	engine bool
	build  string // version of its software
	done   chan struct{}
	// fatal returns after which time a request that has begun to run crashes the runner; ok is false for one that does not.
	fatal func(req *http.Request) (after time.Duration, ok bool)

	mu      sync.Mutex
	l       net.Listener
	down    bool // it has crashed and is not back yet
	born    int64
	crashes []time.Time
	conns   map[net.Conn]bool
	seq     int64
	held    map[string]int       // adapters
	pending map[string]time.Time // when the loads in progress end
	using   map[string]int
	runs    []*run
}

func newRunner(s *site, number int, engine bool, build string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		site: s, id: fmt.Sprintf("i-%d", number), addr: l.Addr().String(), engine: engine, build: build, l: l, done: make(chan struct{}),
		conns: map[net.Conn]bool{}, using: map[string]int{}, fatal: func(*http.Request) (time.Duration, bool) { return 0, false },
	}
	r.reset()
	go r.accept(l)
	go r.heartbeat()
	return r, nil
}

// reset begins a new start, which holds no adapters. The caller holds the lock, or nobody else knows the runner yet.
func (r *runner) reset() {
	r.born, r.seq = time.Now().UnixMilli(), 0
	r.held, r.pending = map[string]int{}, map[string]time.Time{}
}

func (r *runner) stop() {
	close(r.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangUp()
}

// hangUp closes the listener and all channels, as the end of a process does. The caller holds the lock.
func (r *runner) hangUp() {
	r.l.Close()
	for c := range r.conns {
		c.Close()
	}
}

// crash ends the runner's process and starts it again some seconds later, at the same address.
func (r *runner) crash(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	r.crashes = append(r.crashes, time.Now())
	r.site.rec.say("%s crashes under %s", r.id, why)
	r.hangUp()
	time.AfterFunc(crashDown, r.comeBack)
}

func (r *runner) comeBack() {
	select {
	case <-r.done:
		return
	default:
	}
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.site.rec.tell("%s does not come back: %v", r.id, err)
		return
	}
	r.mu.Lock()
	r.l, r.down = l, false
	r.reset()
	r.mu.Unlock()
	r.site.rec.say("%s is back", r.id)
	go r.accept(l)
	r.register()
}

func (r *runner) heartbeat() {
	ticks := time.NewTicker(beat)
	defer ticks.Stop()
	for {
		r.register()
		select {
		case <-ticks.C:
		case <-r.done:
			return
		}
	}
}

func (r *runner) register() {
	service := plainService
	count := 6
	if r.engine {
		service, count = engineService, slots
	}
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.settle()
	entry := map[string]any{
		"service": service, "address": r.addr, "zone": "hall-marcus", "version": r.build, "slots": count, "state": "ready", "sequence": r.seq,
		"born": r.born, "models": r.models(),
	}
	r.mu.Unlock()
	r.site.store.put("servers", r.id, entry)
}

// settle completes loads that are due. The caller holds the lock.
func (r *runner) settle() {
	for a, at := range r.pending {
		if time.Now().After(at) {
			delete(r.pending, a)
			r.held[a] = 1
		}
	}
}

// models lists what the runner holds. The caller holds the lock.
func (r *runner) models() []map[string]any {
	if !r.engine {
		return []map[string]any{}
	}
	adapters := []string{}
	for a, v := range r.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", a, v))
	}
	return []map[string]any{{"name": model, "version": 1, "adapters": adapters}}
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// serve answers the requests of one channel, one after the other.
func (r *runner) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !r.handle(c, req) {
			return
		}
	}
}

// handle answers one request; it returns false if the channel is to be closed.
func (r *runner) handle(c net.Conn, req *http.Request) bool {
	if req.URL.Path == "/-/order" {
		return r.order(c, req)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	if r.isOther(req) {
		return reply(c, http.StatusMisdirectedRequest, http.Header{"X-Not-Executed": {"1"}}, "")
	}
	switch req.URL.Path {
	case "/-/report":
		return r.report(c)
	case "/healthz":
		return reply(c, http.StatusOK, http.Header{"X-Instance-Id": {r.id}}, "")
	}
	id := req.Header.Get("X-Attempt-Id")
	if id == "" {
		return reply(c, http.StatusBadRequest, http.Header{"X-Not-Executed": {"1"}}, "")
	}
	if r.engine {
		return r.stream(c, req, id)
	}
	one := r.begin(id, req.URL.Path)
	if after, ok := r.fatal(req); ok {
		return r.fail(c, req, one, after)
	}
	time.Sleep(workTime)
	r.end(one, http.StatusOK, "done "+id)
	return reply(c, http.StatusOK, r.stamp(one), one.body)
}

// isOther reports whether a request is for another runner.
func (r *runner) isOther(req *http.Request) bool {
	want := req.Header.Get("X-Expect-Instance")
	return want != "" && want != r.id
}

// fail runs a request that crashes the runner after a time, unless the time that the request has left ends before.
func (r *runner) fail(c net.Conn, req *http.Request, one *run, after time.Duration) bool {
	ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if left := time.Duration(ms) * time.Millisecond; err == nil && left <= after {
		time.Sleep(left)
		r.end(one, http.StatusGatewayTimeout, "")
		return reply(c, http.StatusGatewayTimeout, r.stamp(one), "")
	}
	time.Sleep(after)
	r.crash(one.id)
	return false
}

// begin notes that a request begins to run.
func (r *runner) begin(id, path string) *run {
	one := &run{id: id, path: path, runner: r.id, begun: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, one)
	r.mu.Unlock()
	r.site.rec.say("%s runs %s", r.id, id)
	return one
}

func (r *runner) end(one *run, status int, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.status, one.body, one.ended = status, body, time.Now()
}

// stamp returns the headers of an answer to a request that ran.
func (r *runner) stamp(one *run) http.Header {
	return http.Header{"X-Attempt-Id": {one.id}, "X-Server-Stamp": {fmt.Sprintf("%s.%d.%s", r.id, one.status, one.id)}}
}

// reply writes a whole answer.
func reply(c net.Conn, status int, h http.Header, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b) // a builder takes all
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// stream runs a request of the model and writes its events in chunks.
func (r *runner) stream(c net.Conn, req *http.Request, id string) bool {
	name := req.Header.Get("X-Model")
	adapter := strings.TrimPrefix(name, model+"/")
	r.mu.Lock()
	r.settle()
	version, ok := r.held[adapter]
	want := req.Header.Get("X-Expect-Version")
	if name != model && !ok || want != "" && name != model && want != strconv.Itoa(version) {
		r.mu.Unlock()
		return reply(c, http.StatusMisdirectedRequest, http.Header{"X-Not-Executed": {"1"}}, "")
	}
	prompt, _, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	if n, _ := strconv.Atoi(prompt); n > kvTokens {
		r.mu.Unlock()
		return reply(c, http.StatusServiceUnavailable, http.Header{"X-Not-Executed": {"1"}}, "")
	}
	r.using[adapter]++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.using[adapter]--
		r.mu.Unlock()
	}()
	one := r.begin(id, req.URL.Path)
	one.status = http.StatusOK
	_, most, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	_ = r.stamp(one).Write(&b) // a builder takes all
	b.WriteString("\r\n")
	for n := from + 1; n <= tokens/tokensInEvent; n++ {
		time.Sleep(eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, r.build)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := io.WriteString(c, b.String()); err != nil {
			return false
		}
		b.Reset()
	}
	_, err := io.WriteString(c, b.String()+"0\r\n\r\n")
	r.end(one, http.StatusOK, "")
	return err == nil
}

func (r *runner) report(c net.Conn) bool {
	r.mu.Lock()
	r.settle()
	pending := []string{}
	for a := range r.pending {
		pending = append(pending, model+"/"+a+"@1")
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "unified", "born": r.born, "sequence": r.seq, "models": r.models(), "pending": pending, "busy": false, "queued": 0, "active": 0,
		"kv_used": 0, "kv_total": 132765, "handles": 0,
	})
	r.mu.Unlock()
	return reply(c, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, string(data))
}

func (r *runner) order(c net.Conn, req *http.Request) bool {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if r.isOther(req) {
		return reply(c, http.StatusMisdirectedRequest, http.Header{"X-Not-Executed": {"1"}}, "")
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" {
		return reply(c, http.StatusBadRequest, nil, "")
	}
	return reply(c, r.obey(o.Operation, o.Adapter, o.Expected), nil, "")
}

// obey carries out an order and returns the status of the answer.
func (r *runner) obey(operation, adapter string, expected *int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	_, held := r.held[adapter]
	_, loading := r.pending[adapter]
	switch {
	case expected != nil && *expected != r.seq:
		return http.StatusConflict
	case operation == "load" && (held || adapter == ""):
		return http.StatusOK
	case operation == "load" && loading:
		return http.StatusAccepted
	case operation == "load":
		r.seq++
		r.pending[adapter] = time.Now().Add(loadTime)
		return http.StatusAccepted
	case r.using[adapter] > 0:
		return http.StatusConflict
	}
	r.seq++
	delete(r.held, adapter)
	return http.StatusOK
}

// all returns the runs so far.
func (r *runner) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]run, len(r.runs))
	for i, one := range r.runs {
		list[i] = *one
	}
	return list
}
