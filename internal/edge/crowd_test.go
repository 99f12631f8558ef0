//go:build !race

package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// streamed is a request as its caller saw it.
type streamed struct {
	id, team    string
	host        string
	sent        time.Time
	status      int
	first, took time.Duration
	whole       bool
}

// refused reports whether the caller was told that its request has not run and never will.
func (s streamed) refused() bool { return s.status == http.StatusServiceUnavailable }

// demand has callers of a team ask for adapters at a rate until ctx ends, few of them for most: adapter n as often as 1/(n+1).
func (f *farm) demand(ctx context.Context, seed uint64, team string, perSecond float64, adapters int) {
	luck := rand.New(rand.NewPCG(seed, 53))
	weights, sum := make([]float64, adapters), 0.0
	for n := range weights {
		sum += 1 / float64(n+1)
		weights[n] = sum
	}
	f.call(ctx, luck, perSecond, func(client *http.Client) {
		n, _ := slices.BinarySearch(weights, luck.Float64()*sum)
		go f.stream(client, team, fmt.Sprintf("%x", luck.Uint64()), f.hosts[luck.IntN(len(f.hosts))], fmt.Sprint("m/a", n))
	})
}

// stream asks a host for one stream and reads it.
func (f *farm) stream(client *http.Client, team, id, host, adapter string) {
	s := streamed{id: id, team: team, host: host, sent: time.Now()}
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+host+":8000/x", nil)
	if err != nil {
		f.t.Errorf("request: %v", err)
		return
	}
	r.Host = "a.example"
	r.Header = http.Header{headID: {id}, headKey: {"key of " + team}, headUnits: {"1000"}, headAdapter: {adapter}}
	if answer, err := client.Do(r); err == nil {
		s.status = answer.StatusCode
		events := 0
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
				if events == 1 {
					s.first = time.Since(s.sent)
				}
			}
		}
		answer.Body.Close()
		s.whole = events == farmEvents
	}
	s.took = time.Since(s.sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streamed = append(f.streamed, s)
}

// span is what callers and engines saw of what was asked between two times.
type span struct {
	asked, inTime, late, refused, broken int
	longest                              time.Duration // that a caller waited for a refusal
	runs                                 map[string]int
}

// span returns that of what was asked from one time on and before another one.
func (f *farm) span(from, to time.Time) span {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := span{runs: map[string]int{}}
	for _, c := range f.streamed {
		if c.sent.Before(from) || !c.sent.Before(to) {
			continue
		}
		s.asked++
		switch {
		case c.refused():
			s.refused++
			s.longest = max(s.longest, c.took)
		case c.status != http.StatusOK || !c.whole:
			s.broken++
		case c.first <= farmGoal:
			s.inTime++
		default:
			s.late++
		}
	}
	for _, c := range f.came {
		if c.ran && !c.at.Before(from) && c.at.Before(to) {
			s.runs[c.engine]++
		}
	}
	return s
}

// String is for the logs of tests.
func (s span) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused after %v at most, %d broken, runs %v", s.asked, s.inTime, s.late, s.refused, s.longest, s.broken, s.runs)
}
