package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	memoryHosts   = 3
	memoryEngines = 6 // 128 requests at once for each host, as on the sheet
	memoryPlain   = 3
	memoryBookers = 24
	memoryDrafts  = 80  // requesters that send drafts, at usual times
	memoryBurst   = 2.4 // times as many come in the burst
	memoryStagger = 60 * time.Millisecond
	memoryUsual   = 12 * time.Second
	memorySpan    = 25 * time.Second
	// memoryLook is how often the platform looks at the memory of a process.
	memoryLook = 20 * time.Millisecond
	// contact is how long a machine must have been without disturbance to count as in touch.
	contact = 3 * time.Second
	// mostLost is how many requests from kept channels may get no answer.
	mostLost = 3
)

// memoryCase has many requesters come at once. All of them send prompts as long as the configuration allows, before the burst too.
func memoryCase(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec, memoryHosts, memoryEngines, memoryPlain)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	done := make(chan struct{})
	watches := make([]memoryWatch, len(s.hosts))
	var watching sync.WaitGroup
	for i, h := range s.hosts {
		watching.Go(func() { watches[i].run(h, done) })
	}
	var all callers
	begun := time.Now()
	lasts := func() bool { return time.Since(begun) < memorySpan }
	for n := range memoryBookers {
		all.wait.Go(func() { s.sendBookings(&all, n, lasts) })
	}
	drafts := memoryDrafts
	if trouble {
		drafts = int(memoryBurst * memoryDrafts)
	}
	body := bytes.Repeat([]byte("x"), maxBody)
	for n := range drafts {
		all.wait.Go(func() {
			// The usual ones come one after the other, so that their first prompts do not come together.
			wait := time.Duration(n) * memoryStagger
			if n >= memoryDrafts {
				wait = memoryUsual
			}
			time.Sleep(wait)
			s.sendDrafts(&all, n, body, lasts)
		})
	}
	all.wait.Wait()
	close(done)
	watching.Wait()
	rec.tell("%s", all.counts())
	for i, h := range s.hosts {
		rec.tell("%s: at most %d MB, %d allowed, ended for that %d times", h.name, watches[i].peak, memoryMB, watches[i].kills)
	}
	return judgeLost(rec, s, &all), nil
}

// sendBookings sends one booking after the other on a kept channel.
func (s *site) sendBookings(all *callers, n int, lasts func() bool) {
	q := &caller{rec: s.rec, name: fmt.Sprintf("b%d", n)}
	defer q.leave()
	for lasts() {
		all.add(q.send(s.hosts[n%len(s.hosts)].callers(), request{route: book, method: http.MethodPost, body: []byte("{}"), deadline: time.Second}))
		time.Sleep(200 * time.Millisecond)
	}
}

// sendDrafts sends one draft after the other on a kept channel, with a pause after one that was not served.
func (s *site) sendDrafts(all *callers, n int, body []byte, lasts func() bool) {
	q := &caller{rec: s.rec, name: fmt.Sprintf("d%d", n)}
	defer q.leave()
	for k := 0; lasts(); k++ {
		a := q.send(s.hosts[n%len(s.hosts)].callers(), streamRequest(draft, (n*7+k)%40, body, 15*time.Second))
		all.add(a)
		if a.status != http.StatusOK {
			time.Sleep(700 * time.Millisecond)
		}
	}
}

// memoryWatch ends a host's process when it holds more memory than it may, as the platform does.
type memoryWatch struct {
	peak  int // in MB
	kills int
}

func (m *memoryWatch) run(h *host, done <-chan struct{}) {
	ticks := time.NewTicker(memoryLook)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticks.C:
		}
		mb := h.memory()
		m.peak = max(m.peak, mb)
		if mb <= memoryMB {
			continue
		}
		m.kills++
		h.rec.say("%s holds %d MB, %d allowed, and is killed", h.name, mb, memoryMB)
		h.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
	}
}

// judgeLost counts the requests from kept channels that ran at a sound runner and whose channel was closed without a whole answer.
func judgeLost(rec *record, s *site, all *callers) bool {
	ran := map[string]bool{}
	for _, r := range s.runners {
		for _, one := range r.all() {
			ran[one.id] = true
		}
	}
	lost := 0
	for _, a := range all.list {
		if a.kept && ran[a.id] && !a.answered() {
			lost++
			rec.say("lost: %v", a)
		}
	}
	rec.tell("LOST: %d requests from kept channels were passed on and got no answer, %d allowed", lost, mostLost)
	return lost <= mostLost
}
