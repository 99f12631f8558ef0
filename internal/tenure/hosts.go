package tenure

import (
	"damaskreach/internal/mate"
	"damaskreach/internal/rates"
)

// Secret returns the key by which hosts authenticate each other; nil before the rows were read.
func (t *Tenure) Secret() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.secret
}

// Rates returns the median of what hosts have measured of engines, including hosts that are gone.
func (t *Tenure) Rates() rates.Rates {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]rates.Rates, 0, len(t.hosts))
	for _, h := range t.hosts {
		list = append(list, h.Rates)
	}
	return rates.Median(list)
}

// Hosts returns all hosts whose sessions have not ended, by IP.
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

// HostCount returns how many hosts have sessions that have not ended, this one included.
func (t *Tenure) HostCount() int {
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

// Host returns one host, even if its session has ended; the zero value where it is not known.
func (t *Tenure) Host(ip string) mate.Mate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[ip].mate()
}
