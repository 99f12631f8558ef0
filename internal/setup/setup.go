// Package setup holds the settings of an entry host on the users' platform.
package setup

import (
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/bind"
	"damaskreach/internal/fault"
	"damaskreach/internal/mate"
)

// defaultHead is the longest head of a request where the settings name none, in bytes: four times what the users' configurations allow.
const defaultHead = 64 << 10

// Setup is immutable. docs/SETTINGS.md explains each option.
type Setup struct {
	Name    string        `toml:"name"`    // of the host, for logs
	IP      string        `toml:"ip"`      // of the host; stands for its machine in what is agreed through the store
	Centre  string        `toml:"centre"`  // data centre
	Callers string        `toml:"callers"` // IP and port for callers
	Ready   string        `toml:"ready"`   // IP and port at which the platform asks whether the host is ready
	Lookup  string        `toml:"lookup"`  // IP and port at which callers ask for addresses
	Peers   string        `toml:"peers"`   // IP and port for other hosts
	Metrics string        `toml:"metrics"` // IP and port for scrapers; empty means none
	Store   string        `toml:"store"`   // IP and port of the platform's store
	Cores   float64       `toml:"cores"`   // that the process may use
	Memory  int64         `toml:"memory"`  // that the process may use, in MB
	Files   int           `toml:"files"`   // descriptors that the process may use
	Conns   int           `toml:"conns"`   // of callers, that may be open; 0 means as many as memory and descriptors allow
	Head    int           `toml:"head"`    // longest head of a request, in bytes
	Beat    time.Duration `toml:"beat"`    // interval of upstreams' registrations
	Drain   time.Duration `toml:"drain"`   // within which no new work goes to a leaving upstream
	Grace   time.Duration `toml:"grace"`   // between the signal to leave and the end of the process
	Turn    time.Duration `toml:"turn"`    // that orders of two hosts to one engine must lie apart
	Version time.Duration `toml:"version"` // within which a new version of an adapter is in force
	Life    time.Duration `toml:"life"`    // longest life of a lookup's answer
	Share   float64       `toml:"share"`   // retries for each request, over all hosts
	Extra   float64       `toml:"extra"`   // retries beyond the share in each window, over all hosts
	Window  time.Duration `toml:"window"`  // over which retries are counted
	Loads   time.Duration `toml:"loads"`   // over which loads from the weight store are counted
	Level   string        `toml:"level"`   // debug, info, warn or error
}

// Mate returns what other hosts are told of this one.
func (s Setup) Mate() mate.Mate {
	return mate.Mate{IP: s.IP, PeerAddr: s.Peers, CallerAddr: s.Callers, Centre: s.Centre, Cores: s.Cores}
}

// Load reads and checks the settings in a file. The error lists every fault with its key.
func Load(path string) (Setup, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Setup{}, merry.Prepend(err, "reading the settings")
	}
	s, faults := Parse(data)
	if len(faults) == 0 {
		return s, nil
	}
	text := ""
	for _, f := range faults {
		text += "\n" + f.WithFile(path).Error()
	}
	return Setup{}, merry.Errorf("%d faults in the settings:%s", len(faults), text)
}

// Parse decodes a settings text and returns every fault in it.
func Parse(data []byte) (Setup, []fault.Fault) {
	s := Setup{Level: "info", Head: defaultHead}
	var table map[string]toml.Primitive
	meta, err := toml.Decode(string(data), &table)
	if err != nil {
		return s, []fault.Fault{fault.NewFault("", "%v", err)}
	}
	faults := bind.Table(meta, table, &s)
	return s, append(faults, s.check()...)
}

func (s Setup) check() []fault.Fault {
	var faults []fault.Fault
	texts := []struct{ key, value string }{
		{"name", s.Name}, {"ip", s.IP}, {"centre", s.Centre}, {"callers", s.Callers}, {"ready", s.Ready},
		{"lookup", s.Lookup}, {"peers", s.Peers}, {"store", s.Store},
	}
	for _, t := range texts {
		if t.value == "" {
			faults = append(faults, fault.NewFault(t.key, "is missing"))
		}
	}
	for _, t := range texts[3:] {
		if _, err := netip.ParseAddrPort(t.value); t.value != "" && err != nil {
			faults = append(faults, fault.NewFault(t.key, "is no IP and port: %q", t.value))
		}
	}
	times := []struct {
		key   string
		value time.Duration
	}{
		{"beat", s.Beat}, {"drain", s.Drain}, {"grace", s.Grace}, {"turn", s.Turn}, {"version", s.Version},
		{"life", s.Life}, {"window", s.Window},
	}
	for _, t := range times {
		if t.value <= 0 {
			faults = append(faults, fault.NewFault(t.key, "must be above zero"))
		}
	}
	if _, err := zapcore.ParseLevel(s.Level); err != nil {
		faults = append(faults, fault.NewFault("level", "is none of debug, info, warn and error"))
	}
	if s.Share < 0 || s.Extra < 0 {
		faults = append(faults, fault.NewFault("share", "and extra must not be below zero"))
	}
	if s.Cores <= 0 {
		faults = append(faults, fault.NewFault("cores", "must be above zero"))
	}
	if s.Memory <= 0 {
		faults = append(faults, fault.NewFault("memory", "must be above zero"))
	}
	if s.Files <= 0 {
		faults = append(faults, fault.NewFault("files", "must be above zero"))
	}
	if s.Conns < 0 {
		faults = append(faults, fault.NewFault("conns", "must not be below zero"))
	}
	if s.Head <= 0 {
		faults = append(faults, fault.NewFault("head", "must be above zero"))
	}
	return faults
}
