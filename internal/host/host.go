// Package host holds what the platform's host list says of one host.
package host

// States of a host.
const (
	Live    = "live"
	Leaving = "leaving" // it goes away soon: give it no new work
	Gone    = "gone"    // it has been taken away
)

// Host is one entry of the host list, which lags behind the truth.
type Host struct {
	Addr   string `json:"addr"`   // IP
	Centre string `json:"centre"` // data centre
	State  string `json:"state"`
}

// Valid reports whether the host has an address and one of the known states.
func (h Host) Valid() bool {
	switch h.State {
	case Live, Leaving, Gone:
		return h.Addr != ""
	default:
		return false
	}
}

// WithState returns a copy in another state.
func (h Host) WithState(state string) Host {
	h.State = state
	return h
}
