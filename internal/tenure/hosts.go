package tenure

import (
	"damaskreach/internal/mate"
	"damaskreach/internal/rates"
)

// Secret returns the key by which hosts know each other; nil before the rows were read.
func (t *Tenure) Secret() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.secret
}

// Rates returns what hosts have measured of engines, as their rows tell, also those of hosts that are gone.
func (t *Tenure) Rates() rates.Rates {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]rates.Rates, 0, len(t.hosts))
	for _, h := range t.hosts {
		list = append(list, h.Rates)
	}
	return rates.Median(list)
}

// Hosts returns all hosts whose sessions have not lapsed, by IP.
func (t *Tenure) Hosts() map[string]mate.Mate {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := map[string]mate.Mate{}
	for ip, h := range t.hosts {
		if !h.Ended {
			hosts[ip] = h.mate()
		}
	}
	return hosts
}

// Count returns how many hosts there are whose sessions have not lapsed, this one included.
func (t *Tenure) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for ip, h := range t.hosts {
		if !h.Ended && ip != t.IP {
			count++
		}
	}
	return count + 1
}

// Host returns one host, also where its session has lapsed; an empty one where it is not known.
func (t *Tenure) Host(ip string) mate.Mate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[ip].mate()
}
