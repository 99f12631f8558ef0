package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a requester, as it saw it.
type attempt struct {
	id     string
	route  string
	host   string // address that it was sent to
	kept   bool   // on a channel that had served another attempt
	sent   time.Time
	ended  time.Time
	status int  // 0 without an answer
	whole  bool // the answer came whole
	stamp  string
	body   []byte
	err    error
}

// answered reports whether the requester has its answer.
func (a attempt) answered() bool { return a.status != 0 && a.whole }

func (a attempt) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, whole %v, stamp %q, after %d ms, %v",
		a.route, a.id, a.host, a.status, a.whole, a.stamp, a.ended.Sub(a.sent).Milliseconds(), a.err)
}

// caller is a requester with one kept channel.
type caller struct {
	rec  *record
	name string
	c    net.Conn
	in   *bufio.Reader
	addr string
	used int // attempts on the channel
	// dropAt is when the requester loses its channel, if that is still to come.
	dropAt time.Time
}

var attempts atomic.Int64

// connect opens a channel to a host unless there is one.
func (q *caller) connect(addr string) error {
	if q.c != nil && q.addr == addr {
		return nil
	}
	q.leave()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	q.c, q.in, q.addr, q.used = c, bufio.NewReader(c), addr, 0
	return nil
}

// leave closes the channel.
func (q *caller) leave() {
	if q.c != nil {
		q.c.Close()
		q.c = nil
	}
}

// request is what a requester asks for.
type request struct {
	route    string
	path     string // below the route's prefix
	method   string
	headers  map[string]string
	body     []byte
	deadline time.Duration
}

// head returns what is sent before the body.
func (req request) head(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", req.method, req.route, cmp.Or(req.path, "x"), routeHost, id)
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", req.deadline.Milliseconds())
	for name, value := range req.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if req.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends one attempt on the caller's channel and reads its answer. A channel that broke is closed.
func (q *caller) send(addr string, req request) attempt {
	a := attempt{id: fmt.Sprintf("%s-%d", q.name, attempts.Add(1)), route: req.route, host: addr, sent: time.Now()}
	if a.err = q.connect(addr); a.err == nil {
		a.kept = q.used > 0
		q.used++
		a.err = q.exchange(req, &a)
	}
	a.ended = time.Now()
	if a.err != nil {
		q.leave()
	}
	q.rec.say("%v", a)
	return a
}

func (q *caller) exchange(req request, a *attempt) error {
	until := a.sent.Add(req.deadline + 3*time.Second)
	if q.dropAt.After(a.sent) && q.dropAt.Before(until) {
		until = q.dropAt
	}
	if err := q.c.SetDeadline(until); err != nil {
		return err
	}
	l := links.to(a.host)
	if err := l.send(q.c, req.head(a.id)); err != nil {
		return err
	}
	if err := l.send(q.c, req.body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(q.in, &http.Request{Method: req.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	a.body, err = io.ReadAll(resp.Body)
	a.whole = err == nil
	if resp.Close {
		q.leave()
	}
	return err
}

// streamRequest is a draft with a prompt as on the sheet.
func streamRequest(route string, adapter int, body []byte, deadline time.Duration) request {
	return request{
		route: route, method: http.MethodPost, body: body, deadline: deadline,
		headers: map[string]string{
			"X-Model": model + "/a" + strconv.Itoa(adapter), "X-Token-Count": "1460,270",
			"X-Prompt-Prefix": "5c1e07a2:210,91bd3f06:140,e4402b7d:1110", "Content-Type": "application/json",
		},
	}
}

// callers runs requesters side by side and gathers their attempts.
type callers struct {
	mu   sync.Mutex
	list []attempt
	wait sync.WaitGroup
}

func (all *callers) add(a attempt) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.list = append(all.list, a)
}

// counts says how many attempts ended in which way.
func (all *callers) counts() string {
	all.mu.Lock()
	defer all.mu.Unlock()
	by := map[string]int{}
	for _, a := range all.list {
		key := "no answer"
		if a.answered() {
			key = strconv.Itoa(a.status)
		} else if a.status != 0 {
			key = strconv.Itoa(a.status) + " broken off"
		}
		by[a.route+" "+key]++
	}
	var parts []string
	for key, n := range by {
		parts = append(parts, fmt.Sprintf("%s: %d", key, n))
	}
	return strings.Join(parts, ", ")
}
