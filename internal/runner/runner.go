// Package runner holds the operators' row of one upstream.
package runner

// Runner is a model engine or one instance of a plain service.
type Runner struct {
	Name    string `toml:"name" json:"name"`
	Group   string `toml:"group" json:"group"`
	Addr    string `toml:"addr" json:"addr"`                           // IP and port it listens on
	Centre  string `toml:"centre" json:"centre"`                       // data centre
	Slots   int    `toml:"slots" json:"slots"`                         // adapter slots
	Batch   int    `toml:"batch" json:"batch"`                         // requests a step can hold
	Fences  bool   `toml:"fences,omitempty" json:"fences,omitempty"`   // refuses orders with an old fencing number
	Resumes bool   `toml:"resumes,omitempty" json:"resumes,omitempty"` // can resume a stream at a token
	Leaving bool   `toml:"leaving,omitempty" json:"leaving,omitempty"` // gets no new work
}
