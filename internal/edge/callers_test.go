//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// sendRequest sends one request of a team to a host.
func (p *teamFleet) sendRequest(client *http.Client, nonce uint64, host, name string, units int) {
	id := fmt.Sprintf("%s-%x", name, nonce)
	start := time.Now()
	p.mu.Lock()
	p.sentAt[id] = start
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, 1500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+":8000/x", nil)
	if err != nil {
		p.t.Errorf("request: %v", err)
		return
	}
	r.Host = "a.example"
	r.Header = http.Header{headID: {id}, headKey: {"key of " + name}, headUnits: {strconv.Itoa(units)}}
	status := 0
	if answer, err := client.Do(r); err == nil {
		status = answer.StatusCode
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, callResult{
		sent: start, host: host, team: name, units: float64(units), status: status, took: time.Since(start),
	})
}

// generateLoad sends requests of a team at a rate until ctx ends, each to a random host.
func (p *teamFleet) generateLoad(ctx context.Context, seed uint64, name string, perSecond float64, units func(rng *rand.Rand) int) {
	rng := rand.New(rand.NewPCG(seed, 31))
	p.callAtRate(ctx, rng, perSecond, func(client *http.Client) {
		go p.sendRequest(client, rng.Uint64(), p.hosts[rng.IntN(len(p.hosts))], name, units(rng))
	})
}

// newClient returns a client of the callers' network.
func (p *teamFleet) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:     func(ctx context.Context, _, addr string) (net.Conn, error) { return p.net.Dial(callerIP)(ctx, addr) },
		IdleConnTimeout: time.Second,
	}}
}

// callAtRate calls ask at a rate until ctx ends, with a client that all requests share.
func (p *teamFleet) callAtRate(ctx context.Context, rng *rand.Rand, perSecond float64, ask func(client *http.Client)) {
	client := p.newClient()
	go func() {
		defer client.CloseIdleConnections()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
				ask(client)
			}
		}
	}()
}
