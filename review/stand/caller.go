package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout is how long a requester allows a new channel.
	dialTimeout = time.Second
	// patience is added to the time that a requester waits, for an answer that is on its way.
	patience = time.Second
)

// attempt is one request as a requester sends it.
type attempt struct {
	id, method, host, path, key, body string
	wait                              time.Duration
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a requester that keeps one channel for each host.
type caller struct {
	site *site
	name string

	addrs    []string // of the last lookup
	askedAt  time.Time
	lastAddr string // to which the last request went
	chans    map[string]*channel
}

type channel struct {
	net.Conn
	in *bufio.Reader
}

// answered is what a requester saw.
type answered struct {
	status int // 0 if the channel ended without an answer
	stamp  string
	id     string
	body   string
}

func newCaller(s *site, name string) *caller {
	return &caller{site: s, name: name, chans: map[string]*channel{}}
}

// lookup asks a host for the addresses of those that serve, at most every two seconds.
func (c *caller) lookup() []string {
	if time.Since(c.askedAt) < 2*time.Second && len(c.addrs) > 0 {
		return c.addrs
	}
	client := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.site.hosts)) {
		h := c.site.hosts[i]
		r, err := client.Get("http://" + h.addr(lookupPort) + "/-/lookup?" + url.Values{"name": {hostName}, "region": {"kingston"}, "zone": {h.zone}}.Encode())
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(r.Body).Decode(&found)
		r.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			c.addrs, c.askedAt = found.Addresses, time.Now()
			return c.addrs
		}
	}
	return c.addrs
}

// send sends a request to one of the hosts, at random.
func (c *caller) send(a attempt) answered {
	addrs := c.lookup()
	if len(addrs) == 0 {
		return answered{}
	}
	addr := addrs[rand.IntN(len(addrs))]
	c.lastAddr = addr
	got, err := c.exchange(addr, a)
	c.site.asked.Add(1)
	if err == nil && got.status == http.StatusOK {
		c.site.served.Add(1)
	}
	outcome := fmt.Sprintf("%d, stamp %q", got.status, got.stamp)
	if err != nil {
		outcome = "no answer: " + err.Error()
	}
	c.site.rec.line("%s sends %s to %s: %s %s; gets %s", c.name, a.id, addr, a.method, a.path, outcome)
	return got
}

func (c *caller) exchange(addr string, a attempt) (got answered, err error) {
	ch := c.chans[addr]
	if ch != nil && ch.isClosed() {
		ch.Close()
		ch = nil
	}
	if ch == nil {
		conn, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return got, err
		}
		ch = &channel{conn, bufio.NewReader(conn)}
	}
	delete(c.chans, addr)
	defer func() {
		if c.chans[addr] != ch {
			ch.Close()
		}
	}()
	if err := ch.SetDeadline(time.Now().Add(a.wait + patience)); err != nil {
		return got, err
	}
	if _, err := io.WriteString(ch, a.text()); err != nil {
		return got, err
	}
	r, err := http.ReadResponse(ch.in, &http.Request{Method: a.method})
	if err != nil {
		return got, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return got, err
	}
	if !r.Close {
		c.chans[addr] = ch
	}
	return answered{r.StatusCode, r.Header.Get("X-Server-Stamp"), r.Header.Get("X-Attempt-Id"), string(body)}, nil
}

// isClosed reports whether the host has closed an idle channel.
func (ch *channel) isClosed() bool {
	if err := ch.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return true
	}
	_, err := ch.in.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// text returns the request as it goes over the wire.
func (a attempt) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, a.host, a.id, a.wait.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", a.key)
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	return b.String() + "\r\n" + a.body
}

// every calls send at a mean rate with random pauses until the end, in order.
func every(wg *sync.WaitGroup, perSecond float64, end time.Time, send func()) {
	wg.Go(func() {
		for {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			if time.Now().After(end) {
				return
			}
			send()
		}
	})
}
