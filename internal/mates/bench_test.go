package mates_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
)

// A host chooses its partners several times a second.
func BenchmarkPartners(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			all := map[string]mate.Mate{}
			for n := range hosts {
				ip := fmt.Sprintf("10.0.%d.%d", n/250, n%250)
				all[ip] = mate.Mate{IP: ip, Centre: fmt.Sprint("dc-", n%3), Cores: 0.2}
			}
			m := mates.NewMates(all["10.0.0.7"])
			m.Hosts = func() map[string]mate.Mate { return all }
			m.Roster = roster.NewRoster("10.0.0.7", func(string) string { return "" })
			for b.Loop() {
				m.Partners()
			}
		})
	}
}

// All hosts are alive and heard through six relays.
func BenchmarkPartnersWhereAllLive(b *testing.B) {
	const relays = 6
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			now := time.Now()
			all := map[string]mate.Mate{}
			m := mates.NewMates(mate.Mate{IP: relayIP(0), Centre: "dc-0", Cores: 0.2})
			m.Hosts = func() map[string]mate.Mate { return all }
			m.Roster = roster.NewRoster(m.Self.IP, func(string) string { return "" })
			for r := range relays {
				relay := roster.NewRoster(relayIP(r), func(string) string { return "" })
				for n := r; n < hosts; n += relays {
					ip := fmt.Sprintf("10.0.%d.%d", n/250, n%250)
					all[ip] = mate.Mate{IP: ip, Centre: fmt.Sprint("dc-", n%3), Cores: 0.2}
					host := roster.NewRoster(ip, func(string) string { return "" })
					host.Report(status.Status{}, nil, nil, now)
					relay.Update(host.Request(relayIP(r), false, now), now)
				}
				m.Roster.Update(relay.Request(m.Self.IP, true, now), now)
			}
			m.Roster.CheckLiveness(time.Hour, now)
			for b.Loop() {
				m.Partners()
			}
		})
	}
}

func relayIP(n int) string { return fmt.Sprint("10.1.0.", n) }
