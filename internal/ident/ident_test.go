package ident_test

import (
	"runtime"
	"testing"

	"damaskreach/internal/demand"
	"damaskreach/internal/ident"
)

var lookup = demand.Demand{ID: "1", Method: "GET", Host: "a.example", URI: "/ticket?day=today"}

// A request comes again under another id, over another connection. It must be known as the same.
func TestRepeatHasTheSameFingerprint(t *testing.T) {
	repeat := lookup
	repeat.ID = "2"
	for team, addrs := range map[string][2]string{"red": {"10.0.0.1:1000", "10.0.0.2:1000"}, "": {"10.0.0.1:1000", "10.0.0.1:2000"}} {
		one, other := ident.NewIdent(lookup, team, addrs[0]), ident.NewIdent(repeat, team, addrs[1])
		if one.Fingerprint != other.Fingerprint {
			t.Errorf("team %q: fingerprints = %s, %s, want the same", team, one.Fingerprint, other.Fingerprint)
		}
	}
}

// Requests differ in one thing, among them their callers. Taken for the same, each would be refused for what the other one did.
func TestOtherRequestsHaveOtherFingerprints(t *testing.T) {
	change := func(f func(d *demand.Demand)) demand.Demand {
		d := lookup
		f(&d)
		return d
	}
	const addr = "10.0.0.1:1000"
	seen := map[string]string{}
	for name, i := range map[string]ident.Ident{
		"team":                      ident.NewIdent(lookup, "red", addr),
		"other team":                ident.NewIdent(lookup, "blue", addr),
		"address":                   ident.NewIdent(lookup, "", addr),
		"other address":             ident.NewIdent(lookup, "", "10.0.0.2:1000"),
		"team named as the address": ident.NewIdent(lookup, "10.0.0.1", addr),
		"method":                    ident.NewIdent(change(func(d *demand.Demand) { d.Method = "POST" }), "red", addr),
		"host":                      ident.NewIdent(change(func(d *demand.Demand) { d.Host = "b.example" }), "red", addr),
		"path":                      ident.NewIdent(change(func(d *demand.Demand) { d.URI = "/ticket" }), "red", addr),
		"adapter":                   ident.NewIdent(change(func(d *demand.Demand) { d.Adapter = "m/a" }), "red", addr),
		"body":                      ident.NewIdent(change(func(d *demand.Demand) { d.Body = []byte("x") }), "red", addr),
	} {
		if other, ok := seen[i.Fingerprint]; ok {
			t.Errorf("%s and %s have the same fingerprint, want different ones", name, other)
		}
		seen[i.Fingerprint] = name
	}
}

// A caller's requests come from several addresses, or with another query each. Known only as different ones, none of them would crash enough upstreams to be stopped.
func TestRequestsOfSeveralAddressesAndQueriesHaveTheSameWideName(t *testing.T) {
	want := ident.NewIdent(lookup, "", "10.0.0.1:1000").Wide
	other := lookup
	other.URI = "/ticket?day=tomorrow"
	bare := lookup
	bare.URI = "/ticket"
	for name, got := range map[string]string{
		"address": ident.NewIdent(lookup, "", "10.0.0.2:1000").Wide,
		"query":   ident.NewIdent(other, "", "10.0.0.1:1000").Wide,
		"none":    ident.NewIdent(bare, "", "10.0.0.1:1000").Wide,
	} {
		if got != want {
			t.Errorf("other %s: wide name %s, want %s", name, got, want)
		}
	}
	path := lookup
	path.URI = "/tickets"
	for name, got := range map[string]string{"team": ident.NewIdent(lookup, "red", "").Wide, "path": ident.NewIdent(path, "", "").Wide} {
		if got == want {
			t.Errorf("other %s: wide name %s too, want another", name, got)
		}
	}
}

// A crowd sends long bodies. Copied to be named, each would be in memory once more than its caller's room allows, several times over until the collector runs.
func TestLongBodiesAreNotCopied(t *testing.T) {
	long := lookup
	long.Body = make([]byte, 1<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ident.NewIdent(long, "red", "10.0.0.1:1000")
	runtime.ReadMemStats(&after)
	if got, want := after.TotalAlloc-before.TotalAlloc, uint64(len(long.Body)/4); got > want {
		t.Errorf("%d bytes were allocated for a body of %d, want %d at most", got, len(long.Body), want)
	}
}

// Hosts of two releases run side by side and tell each other of crashes. With other names for the same request, neither would know what the other one saw.
func TestNamesAreThoseOfEarlierReleases(t *testing.T) {
	long := lookup
	long.Body, long.Adapter = []byte("a body"), "m/a"
	got := ident.NewIdent(long, "red", "10.0.0.1:1000")
	if want := "2985b6f5ed6b52e52e61b728"; got.Fingerprint != want {
		t.Errorf("fingerprint = %s, want %s", got.Fingerprint, want)
	}
	if want := "wa938dc12931ece4dde7d476"; got.Wide != want {
		t.Errorf("wide fingerprint = %s, want %s", got.Wide, want)
	}
}
