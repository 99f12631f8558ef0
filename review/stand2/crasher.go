package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	crasherSpan   = 40 * time.Second
	crasherUsual  = 3 * time.Second
	crasherRepeat = 1500 * time.Millisecond
	// crasherAfter is how long after it begins to run the request crashes its runner: within the time that the requester gives it.
	crasherAfter = 600 * time.Millisecond
	crasherPath  = "ledger"
	// lateRetries is how many retries may reach runners later than contact after the third crash.
	lateRetries = 3
)

// crasherCase has a request that crashes its runners a while after they begin to run it come again and again.
func crasherCase(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec, 3, 4, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, r := range s.runners {
		r.fatal = func(req *http.Request) (time.Duration, bool) {
			return crasherAfter, trouble && strings.HasSuffix(req.URL.Path, "/"+crasherPath)
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	var all callers
	begun := time.Now()
	lasts := func() bool { return time.Since(begun) < crasherSpan }
	s.usual(&all, lasts)
	all.wait.Go(func() {
		q := &caller{rec: rec, name: "crasher"}
		defer q.leave()
		time.Sleep(crasherUsual)
		for lasts() {
			h := s.hosts[rand.IntN(len(s.hosts))]
			q.send(h.callers(), request{route: ticket, path: crasherPath, method: http.MethodGet, deadline: time.Second})
			q.leave()
			time.Sleep(crasherRepeat)
		}
	})
	all.wait.Wait()
	rec.tell("others: %s", all.counts())
	return judgeCrasher(rec, s), nil
}

// usual has requesters send the usual requests of the sheet at a moderate rate while lasts returns true.
func (s *site) usual(all *callers, lasts func() bool) {
	for n := range 18 {
		q := &caller{rec: s.rec, name: fmt.Sprintf("r%d", n)}
		h := s.hosts[n%len(s.hosts)]
		all.wait.Go(func() {
			defer q.leave()
			for k := 0; lasts(); k++ {
				var req request
				switch n % 6 {
				case 0, 1:
					req = request{route: book, method: http.MethodPost, body: []byte("{}"), deadline: time.Second}
				case 2:
					req = request{route: ticket, path: fmt.Sprintf("t%d", k%9), method: http.MethodGet, deadline: time.Second}
				default:
					req = streamRequest(draft, (n*7+k)%30, make([]byte, 2900), 15*time.Second)
				}
				all.add(q.send(h.callers(), req))
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}

// judgeCrasher counts the retries of the request that reached runners later than contact after it had crashed the third.
func judgeCrasher(rec *record, s *site) bool {
	var crashes []time.Time
	var runs []run
	for _, r := range s.runners {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
		for _, one := range r.all() {
			if strings.HasSuffix(one.path, "/"+crasherPath) {
				runs = append(runs, one)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	rec.tell("%d runs of the request, %d crashes", len(runs), len(crashes))
	if len(crashes) < 3 {
		return true
	}
	late := 0
	for _, one := range runs {
		if one.begun.After(crashes[2].Add(contact)) {
			late++
			rec.say("late: %s at %s", one.id, one.runner)
		}
	}
	rec.tell("BUDGET: %d retries reached runners later than %v after the third crash, %d allowed", late, contact, lateRetries)
	return late <= lateRetries
}
