package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	resumeStreams = 36 // requesters whose streams are taken up
	resumeOthers  = 12 // requesters that go on with new streams
	resumeTokens  = 540
	resumeLoss    = 12 * time.Second // when the channels end
	resumePause   = 4 * time.Second  // until a requester takes its stream up
	resumeSpan    = 24 * time.Second
	// leastTakenUp is how many streams must be taken up for the rule to hold, leastShare the share of new streams that begin, of which those
	// that go on must reach so much.
	leastTakenUp, leastShare = 12, 0.5
)

// resumeCase has requesters take up their streams after all hosts were killed at the same moment, while runners of two builds serve.
func resumeCase(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec, 3, 6, 3, "v1", "v1.1")
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	begun := time.Now()
	loss := begun.Add(resumeLoss)
	var all callers
	var taken takenUp
	for n := range resumeStreams {
		all.wait.Go(func() { s.takeUp(&taken, n, loss) })
	}
	for n := range resumeOthers {
		all.wait.Go(func() { s.sendNew(&all, n, begun.Add(resumeSpan)) })
	}
	time.Sleep(time.Until(loss))
	if trouble {
		for _, h := range s.hosts {
			h.signal(syscall.SIGKILL)
		}
	}
	all.wait.Wait()
	return judgeResume(rec, s, &all, &taken, loss), nil
}

// takenUp counts the streams that were taken up at machines in touch.
type takenUp struct {
	mu           sync.Mutex
	all, goesOn  int
	statuses     map[int]int // of the last tries
	foreignBuild int         // streams that went on at another build
}

// takeUp sends one stream after the other until the loss of the channels, and takes up the one that broke off then.
func (s *site) takeUp(taken *takenUp, n int, loss time.Time) {
	q := &caller{rec: s.rec, name: fmt.Sprintf("s%d", n), dropAt: loss}
	defer q.leave()
	time.Sleep(time.Duration(n) * 100 * time.Millisecond)
	for time.Now().Before(loss.Add(-time.Second)) {
		req := streamRequest(draft, n%12, make([]byte, 2900), 15*time.Second)
		req.headers["X-Token-Count"] = fmt.Sprintf("1460,%d", resumeTokens)
		a := q.send(s.hosts[n%len(s.hosts)].callers(), req)
		last, build := lastEvent(a.body)
		if a.answered() || last == 0 {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		time.Sleep(resumePause)
		s.resume(taken, q, req, a, last, build)
		return
	}
}

// resume takes up a stream, and once more if it is refused.
func (s *site) resume(taken *takenUp, q *caller, req request, first attempt, last int, build string) {
	for try := range 2 {
		left := req.deadline - time.Since(first.sent)
		if left < time.Second {
			return
		}
		next := req
		next.deadline = left
		next.headers = map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": first.id}
		for name, value := range req.headers {
			next.headers[name] = value
		}
		h := s.hosts[rand.IntN(len(s.hosts))]
		sent := time.Now()
		a := q.send(h.callers(), next)
		further, other := lastEvent(a.body)
		if try == 0 && h.inTouch(sent) {
			taken.note(a, further > last, further > last && other != build)
		}
		if a.status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Second)
	}
}

func (t *takenUp) note(a attempt, goesOn, foreign bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if goesOn {
		t.goesOn++
	}
	if foreign {
		t.foreignBuild++
	}
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	t.statuses[a.status]++
}

// lastEvent returns the number of the last whole event of a body, and the build that wrote it; 0 if there is none.
func lastEvent(body []byte) (number int, build string) {
	for event := range strings.SplitSeq(string(body), "\n\n") {
		var n int
		var id, by string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %s", &n, &id, &by); err == nil {
			number, build = n, by
		}
	}
	return number, build
}

// sendNew sends new streams until a time.
func (s *site) sendNew(all *callers, n int, until time.Time) {
	q := &caller{rec: s.rec, name: fmt.Sprintf("n%d", n)}
	defer q.leave()
	for k := 0; time.Now().Before(until); k++ {
		all.add(q.send(s.hosts[(n+k)%len(s.hosts)].callers(), streamRequest(draft, (n+k)%12, make([]byte, 2900), 15*time.Second)))
		time.Sleep(300 * time.Millisecond)
	}
}

// judgeResume compares the share of the streams taken up that go on with the share of new ones that begin, at machines in touch.
func judgeResume(rec *record, s *site, all *callers, taken *takenUp, loss time.Time) bool {
	sent, began := 0, 0
	for _, a := range all.list {
		if a.sent.Before(loss.Add(resumePause)) {
			continue
		}
		sent++
		if last, _ := lastEvent(a.body); last > 0 {
			began++
		}
	}
	rec.tell("new streams from %v after the loss on: %d, %d began", resumePause, sent, began)
	rec.tell("streams taken up at machines in touch: %d, %d went on, %d of them at another build; statuses of the first tries: %v",
		taken.all, taken.goesOn, taken.foreignBuild, taken.statuses)
	if taken.all < leastTakenUp || sent == 0 {
		return true
	}
	goOn, begin := float64(taken.goesOn)/float64(taken.all), float64(began)/float64(sent)
	rec.tell("LOST: %.2f go on, %.2f of the new ones begin, half of that is the least", goOn, begin)
	return goOn >= leastShare*begin
}
