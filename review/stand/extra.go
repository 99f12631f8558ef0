package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// extraServers is the share 0.6 of three runners, extraX the part of their answers that they spoil, extraFor how long at a time: the dose of
	// "garble (extra late)" in the site file. It comes extraTimes times, extraEvery apart.
	extraServers, extraX = 2, 0.03
	extraFor, extraEvery = 5 * time.Second, 10 * time.Second
	extraTimes           = 6
	// shedText is what a runner that sheds sends, as fleetbench wire prints it; with a length, so that the channel stays.
	shedText = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// playExtra has runners send bytes that belong to no request where the answer to the next one is expected: TWICE.
func playExtra(s *site, storeAddr string, trouble bool) (int, error) {
	f := &faults{}
	var garbling atomic.Bool
	f.extra = func(r *runner) string {
		if garbling.Load() && r.number < extraServers && rand.Float64() < extraX {
			return shedText
		}
		return ""
	}
	if err := s.startAll(storeAddr, f, nil); err != nil {
		return failed, err
	}
	begin := time.Now()
	for n := range extraTimes {
		if !trouble {
			break
		}
		time.AfterFunc(time.Duration(n)*extraEvery, func() { garbling.Store(true); s.rec.line("garble begins at %d runners", extraServers) })
		time.AfterFunc(time.Duration(n)*extraEvery+extraFor, func() { garbling.Store(false); s.rec.line("garble ends") })
	}
	answers := s.callApplication(begin.Add(extraTimes * extraEvery))
	return s.judgeOnce(f, answers), nil
}

// booked is a booking and what its requester got.
type booked struct {
	attempt
	answered
}

// callApplication sends the sheet's requests to the application service until the end and returns the bookings.
func (s *site) callApplication(end time.Time) []booked {
	const callers = 12
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []booked
	for n := range callers {
		c := newCaller(s, fmt.Sprintf("caller %d", n))
		every(&wg, (20.2+9.2)/callers, end, func() {
			a := attempt{id: newAttempt(), method: http.MethodGet, host: hostName, path: lookupPath, wait: time.Second}
			booking := rand.Float64() < 20.2/(20.2+9.2)
			if booking {
				a.method, a.path, a.body = http.MethodPost, bookingPath, "booking "+a.id
			}
			got := c.send(a)
			if booking {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, booked{a, got})
			}
		})
	}
	wg.Wait()
	return all
}

// judgeOnce checks that each booking ran once at most, and not at all where its requester was told so.
func (s *site) judgeOnce(f *faults, all []booked) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, one := range f.runs {
		runs[one.attempt]++
	}
	twice, refused := 0, 0
	for _, b := range all {
		if runs[b.attempt.id] > 1 {
			twice++
			s.rec.line("TWICE: booking %s ran %d times; its requester got %d", b.attempt.id, runs[b.attempt.id], b.status)
		}
		if b.status == http.StatusServiceUnavailable && runs[b.attempt.id] > 0 {
			refused++
			s.rec.line("REFUSED: booking %s was answered 503 and ran", b.attempt.id)
		}
	}
	s.rec.verdict("%d bookings, %d ran more than once, %d were answered 503 and ran", len(all), twice, refused)
	if twice > 0 {
		return broken
	}
	return held
}
