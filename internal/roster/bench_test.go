package roster_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/usage"
)

// A relay of a large site answers each of its hosts several times a second.
func BenchmarkAnswerAtRelay(b *testing.B) {
	const engines, used = 3000, 60
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			name := func(n int) string { return fmt.Sprint("h", n%hosts) }
			owners := map[string]string{}
			for n := range engines {
				owners[fmt.Sprint("e", n)] = name(n)
			}
			relay := roster.NewRoster("relay", func(engine string) string { return owners[engine] })
			relay.Report(status.Status{}, nil, nil, start)
			for h := range hosts {
				one := roster.NewRoster(name(h), hostOf)
				var uses []usage.Usage
				for n := range used {
					uses = append(uses, usage.Usage{Host: name(h), Engine: fmt.Sprint("e", (h*7+n*31)%engines), Running: 1})
				}
				one.Report(status.Status{}, uses, nil, start)
				relay.Update(one.Request("relay", false, start), start)
			}
			member := roster.NewRoster(name(0), hostOf)
			for range 3 {
				exchange(member, relay, name(0), "relay", false, start)
			}
			question := member.Request("relay", false, start)
			b.ReportAllocs()
			for b.Loop() {
				relay.Answer(question, start)
			}
		})
	}
}

// newSiteRelay returns the roster of a relay that has some of a site's hosts in its own group and the others from five more relays.
func newSiteRelay(hosts int) *roster.Roster {
	const relays = 6
	relay := roster.NewRoster("relay0", hostOf)
	relay.Report(status.Status{}, nil, nil, start)
	for r := range relays {
		other := roster.NewRoster(fmt.Sprint("relay", r), hostOf)
		other.Report(status.Status{}, nil, nil, start)
		for h := r; h < hosts; h += relays {
			one := roster.NewRoster(fmt.Sprint("h", h), hostOf)
			one.Report(status.Status{Requests: map[string]int{fmt.Sprint("e", h): 3}}, nil, nil, start)
			target := other
			if r == 0 {
				target = relay
			}
			target.Update(one.Request(fmt.Sprint("relay", r), false, start), start)
		}
		if r > 0 {
			relay.Update(other.Request("relay0", true, start), start)
		}
	}
	return relay
}

// A relay answers with all hosts, since each of them changed.
func BenchmarkAnswerWhereAllChanged(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			relay := newSiteRelay(hosts)
			question := roster.NewRoster("new", hostOf).Request("relay0", false, start)
			for b.Loop() {
				relay.Answer(question, start)
			}
		})
	}
}

// BenchmarkLook measures CheckLiveness, which a host calls several times a second.
func BenchmarkLook(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			relay := newSiteRelay(hosts)
			for b.Loop() {
				relay.CheckLiveness(time.Second, start)
			}
		})
	}
}
