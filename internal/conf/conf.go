// Package conf holds a node's settings, read from a TOML file.
package conf

import (
	"cmp"
	"time"
)

// Conf is what one node needs to know at its start. docs/SETTINGS.md explains each option.
type Conf struct {
	Node        string        `toml:"node"`         // id; empty means one made at the start
	Site        string        `toml:"site"`         // site the node is at
	Centre      string        `toml:"centre"`       // data centre
	Peer        string        `toml:"peer"`         // IP and port for other nodes
	Listen      string        `toml:"listen"`       // IP and port that the node opens for other nodes; empty means Peer
	HTTP        string        `toml:"http"`         // IP and port for callers
	Admin       string        `toml:"admin"`        // IP and port for operators
	Tables      []string      `toml:"tables"`       // addresses of the table service
	Objects     []string      `toml:"objects"`      // addresses of the object store
	Seeds       []string      `toml:"seeds"`        // addresses of other nodes to ask for the configuration in an outage
	Hosts       []string      `toml:"hosts"`        // addresses of the host list
	Secrets     []string      `toml:"secrets"`      // keys shared by nodes: the first signs, all are accepted
	SecretsFile string        `toml:"secrets-file"` // file with one shared key a line, in place of Secrets
	Operators   []string      `toml:"operators"`    // SHA-256 of operators' keys, in hexadecimal
	Lease       time.Duration `toml:"lease"`        // validity of the node's session
	Renew       time.Duration `toml:"renew"`        // interval of session renewals
	Poll        time.Duration `toml:"poll"`         // interval of readings of the configuration tail
	MaxBody     int64         `toml:"max-body"`     // largest request body, in bytes
	MaxHeader   int           `toml:"max-header"`   // largest request header, in bytes
	MaxRequest  time.Duration `toml:"max-request"`  // longest allowed request
	Drain       time.Duration `toml:"drain"`        // how long a leaving node serves on after discovery dropped it
	EntriesLife time.Duration `toml:"entries-life"` // stated life of a discovery answer
	Keepers     int           `toml:"keepers"`      // claim shards
	ClaimWindow time.Duration `toml:"claim-window"` // how long claims are gathered for one write
	ClaimLife   time.Duration `toml:"claim-life"`   // how long an idempotency key is remembered after its request
	SuspectLife time.Duration `toml:"suspect-life"` // how long a request that crashed upstreams is held back
	LogLevel    string        `toml:"log-level"`    // debug, info, warn or error
}

// Default returns the settings that hold where a file names none.
func Default() Conf {
	return Conf{
		Lease:       15 * time.Second,
		Renew:       5 * time.Second,
		Poll:        2 * time.Second,
		MaxBody:     8 << 20,
		MaxHeader:   64 << 10,
		MaxRequest:  10 * time.Minute,
		Drain:       10 * time.Second,
		EntriesLife: 5 * time.Second,
		Keepers:     4,
		ClaimWindow: 20 * time.Millisecond,
		ClaimLife:   24 * time.Hour,
		SuspectLife: 10 * time.Minute,
		LogLevel:    "info",
	}
}

// ListenAddr returns the IP and port that the node opens for other nodes.
func (c Conf) ListenAddr() string {
	return cmp.Or(c.Listen, c.Peer)
}

// String names the node without its secrets, so that a log line which prints the settings gives none away.
func (c Conf) String() string {
	return "node " + c.Node + " at " + c.Site + "/" + c.Centre + ", peers on " + c.Peer + ", callers on " + c.HTTP + ", operators on " + c.Admin
}

// GoString keeps secrets out of debugging output.
func (c Conf) GoString() string {
	return c.String()
}

// MarshalText keeps secrets out of structured logs as String does out of plain ones.
func (c Conf) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}
