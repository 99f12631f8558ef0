package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// poisonEvery is the pause between two arrivals of the request that crashes runners.
	poisonEvery = 4 * time.Second
	poisonFor   = 70 * time.Second
	// contact is contact_ms of the sheet that has tenants, the longer one; retries is how many the rule allows after it.
	contact = 4 * time.Second
	retries = 3
)

// tenantKeys are the keys of the callers; requests of the first one crash runners.
var tenantKeys = []string{"key-of-t0", "key-of-t1", "key-of-t2", "key-of-t3"}

// playPoison has one caller's request crash each runner that begins to run it, while other callers ask for the same path: BUDGET.
func playPoison(s *site, storeAddr string, trouble bool) (int, error) {
	var tenants []any
	for i, key := range tenantKeys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("t%d", i), "api_keys": []string{key}})
	}
	f := &faults{crashes: func(q *http.Request) bool { return q.URL.Path == lookupPath && q.Header.Get("X-Tenant") == "t0" }}
	if err := s.startAll(storeAddr, f, tenants); err != nil {
		return failed, err
	}
	end := time.Now().Add(poisonFor)
	path := lookupPath
	if os.Getenv("OTHERS") == "apart" {
		path = "/cufi504/other/2f" // shows what the system does where no other caller asks for the same path
	}
	var wg sync.WaitGroup
	for n := range 9 {
		c := newCaller(s, fmt.Sprintf("caller %d", n))
		key := tenantKeys[1+n%3]
		every(&wg, 1, end, func() {
			c.send(attempt{id: newAttempt(), method: http.MethodGet, host: hostName, path: path, key: key, wait: time.Second})
		})
	}
	sent := map[string]bool{}
	if trouble {
		c := newCaller(s, "caller of the request that crashes runners")
		for time.Now().Add(poisonEvery).Before(end) {
			time.Sleep(poisonEvery)
			id := newAttempt()
			sent[id] = true
			c.send(attempt{id: id, method: http.MethodGet, host: hostName, path: lookupPath, key: tenantKeys[0], wait: time.Second})
		}
	}
	wg.Wait()
	return s.judgePoison(f, sent), nil
}

// judgePoison counts the runs of the request that crashes runners later than contact_ms after the third.
func (s *site) judgePoison(f *faults, sent map[string]bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashes, late := 0, 0
	var third time.Time
	for _, one := range f.runs {
		if !sent[one.attempt] {
			continue
		}
		crashes++
		if crashes == 3 {
			third = one.at
		}
		if crashes > 3 && one.at.Sub(third) > contact {
			late++
			s.rec.line("BUDGET: %s reached runner %s %.1f s after the third crash", one.attempt, one.runner, one.at.Sub(third).Seconds())
		}
	}
	s.rec.verdict("sent %d times, %d runners crashed, %d later than contact_ms after the third", len(sent), crashes, late)
	if late > retries {
		return broken
	}
	return held
}
