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

// streamResult is a request as its caller saw it.
type streamResult struct {
	id, team             string
	host                 string
	sent                 time.Time
	status               int
	firstEvent, duration time.Duration
	complete             bool
}

// refused reports whether the caller was told that its request has not run and never will.
func (s streamResult) refused() bool { return s.status == http.StatusServiceUnavailable }

// generateDemand sends requests of a team for adapters at a rate until ctx ends: adapter n is asked for as often as 1/(n+1).
func (f *farm) generateDemand(ctx context.Context, seed uint64, team string, perSecond float64, adapters int) {
	rng := rand.New(rand.NewPCG(seed, 53))
	weights, sum := make([]float64, adapters), 0.0
	for n := range weights {
		sum += 1 / float64(n+1)
		weights[n] = sum
	}
	f.callAtRate(ctx, rng, perSecond, func(client *http.Client) {
		n, _ := slices.BinarySearch(weights, rng.Float64()*sum)
		go f.stream(client, team, fmt.Sprintf("%x", rng.Uint64()), f.hosts[rng.IntN(len(f.hosts))], fmt.Sprint("m/a", n))
	})
}

// stream sends one request to a host and reads the stream that answers it.
func (f *farm) stream(client *http.Client, team, id, host, adapter string) {
	s := streamResult{id: id, team: team, host: host, sent: time.Now()}
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
					s.firstEvent = time.Since(s.sent)
				}
			}
		}
		answer.Body.Close()
		s.complete = events == farmEvents
	}
	s.duration = time.Since(s.sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = append(f.streams, s)
}

// outcome is what became of the requests sent between two times.
type outcome struct {
	asked, inTime, late, refused, broken int
	longestRefusal                       time.Duration // wait of a caller for a refusal
	runs                                 map[string]int
}

// outcomeBetween returns the outcome of requests sent since one time and before another.
func (f *farm) outcomeBetween(from, to time.Time) outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := outcome{runs: map[string]int{}}
	for _, c := range f.streams {
		if c.sent.Before(from) || !c.sent.Before(to) {
			continue
		}
		s.asked++
		switch {
		case c.refused():
			s.refused++
			s.longestRefusal = max(s.longestRefusal, c.duration)
		case c.status != http.StatusOK || !c.complete:
			s.broken++
		case c.firstEvent <= farmLatencyTarget:
			s.inTime++
		default:
			s.late++
		}
	}
	for _, c := range f.arrivals {
		if c.ran && !c.at.Before(from) && c.at.Before(to) {
			s.runs[c.engine]++
		}
	}
	return s
}

func (s outcome) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused after %v at most, %d broken, runs %v",
		s.asked, s.inTime, s.late, s.refused, s.longestRefusal, s.broken, s.runs)
}
