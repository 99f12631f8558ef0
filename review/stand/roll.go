package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// rolls is how often all hosts are restarted in turn, and rollGap the pause after each start, the site file's gap_s.
	rolls   = 3
	rollGap = 2 * time.Second
	// rollCalm is the pause between two rolls: contact_ms, and some arrivals more.
	rollCalm = 10 * time.Second
	// rollEvery is the pause between two arrivals of the request that crashes runners.
	rollEvery = 2 * time.Second
	// rollContact is the sheet's contact_ms.
	rollContact = 3 * time.Second
	// rollTime is how long the other callers go on.
	rollTime   = 80 * time.Second
	poisonPath = "/cufi504/crashes/2f"
	otherPath  = "/cufi504/other/2f"
)

// arrival is one sending of the request that crashes runners.
type arrival struct {
	host    *host
	inTouch bool // when it was sent, and when it was answered
}

// playRoll restarts the hosts in turn while a request that crashes runners comes again and again: BUDGET.
func playRoll(s *site, storeAddr string, trouble bool) (int, error) {
	f := &faults{crashes: func(q *http.Request) bool { return q.URL.Path == poisonPath }}
	if err := s.startAll(storeAddr, f, nil); err != nil {
		return failed, err
	}
	done := make(chan struct{})
	sent := map[string]arrival{}
	var wg sync.WaitGroup
	wg.Go(func() { s.sendPoison(done, sent) })
	for n := range 6 {
		c := newCaller(s, fmt.Sprintf("caller %d", n))
		every(&wg, 1.5, time.Now().Add(rollTime), func() {
			c.send(attempt{id: newAttempt(), method: http.MethodGet, host: hostName, path: otherPath, wait: time.Second})
		})
	}
	time.Sleep(rollCalm)
	for range rolls {
		for _, h := range s.hosts {
			if trouble {
				if err := h.restart(s.rec); err != nil {
					return failed, err
				}
			}
			time.Sleep(rollGap)
		}
		time.Sleep(rollCalm)
	}
	close(done)
	wg.Wait()
	return s.judgeRoll(f, sent), nil
}

func (s *site) sendPoison(done <-chan struct{}, sent map[string]arrival) {
	c := newCaller(s, "caller of the request that crashes runners")
	byAddr := map[string]*host{}
	for _, h := range s.hosts {
		byAddr[h.addr(callerPort)] = h
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(rollEvery):
		}
		before := map[string]bool{}
		for addr, h := range byAddr {
			before[addr] = h.inTouch(time.Now(), rollContact)
		}
		id := newAttempt()
		c.send(attempt{id: id, method: http.MethodGet, host: hostName, path: poisonPath, wait: time.Second})
		if h := byAddr[c.lastAddr]; h != nil {
			sent[id] = arrival{h, before[c.lastAddr] && h.inTouch(time.Now(), rollContact)}
		}
	}
}

// judgeRoll counts the sends that reached runners later than contact_ms after the third crash, by hosts in touch.
func (s *site) judgeRoll(f *faults, sent map[string]arrival) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashes, late, apart := 0, 0, 0
	var third time.Time
	for _, one := range f.runs {
		from, ok := sent[one.attempt]
		if !ok {
			continue
		}
		crashes++
		if crashes == 3 {
			third = one.at
		}
		if crashes <= 3 || one.at.Sub(third) <= rollContact {
			continue
		}
		if !from.inTouch {
			apart++
			continue
		}
		late++
		s.rec.line("BUDGET: %s, sent by host %s, reached runner %s %.1f s after the third crash", one.attempt, from.host.ip, one.runner, one.at.Sub(third).Seconds())
	}
	s.rec.verdict("sent %d times, reached runners %d times, %d later than contact_ms after the third by hosts in touch, %d by others", len(sent), crashes, late, apart)
	if late > retries {
		return broken
	}
	return held
}
