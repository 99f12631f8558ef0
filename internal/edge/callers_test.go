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

// ask sends one request of a team to a host.
func (p *payers) ask(client *http.Client, luck uint64, host, name string, units int) {
	id := fmt.Sprintf("%s-%x", name, luck)
	begun := time.Now()
	p.mu.Lock()
	p.sent[id] = begun
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
	p.said = append(p.said, said{sent: begun, host: host, team: name, units: float64(units), status: status, took: time.Since(begun)})
}

// load has callers of a team ask at a rate until ctx ends, each request at any host.
func (p *payers) load(ctx context.Context, seed uint64, name string, perSecond float64, units func(luck *rand.Rand) int) {
	luck := rand.New(rand.NewPCG(seed, 31))
	p.call(ctx, luck, perSecond, func(client *http.Client) {
		go p.ask(client, luck.Uint64(), p.hosts[luck.IntN(len(p.hosts))], name, units(luck))
	})
}

// call calls ask at a rate until ctx ends, with a client that all requests share.
func (p *payers) call(ctx context.Context, luck *rand.Rand, perSecond float64, ask func(client *http.Client)) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:     func(ctx context.Context, _, addr string) (net.Conn, error) { return p.net.Dial(callerIP)(ctx, addr) },
		IdleConnTimeout: time.Second,
	}}
	go func() {
		defer client.CloseIdleConnections()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(luck.ExpFloat64() / perSecond * float64(time.Second))):
				ask(client)
			}
		}
	}()
}
