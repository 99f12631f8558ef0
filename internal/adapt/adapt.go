// Package adapt holds the operators' row of one adapter.
package adapt

// Adapter says which versions of an adapter are served, where, and within which limits.
type Adapter struct {
	Name     string         `toml:"name" json:"name"`
	Tenant   string         `toml:"tenant" json:"tenant"`                         // owner; no other tenant may use it
	Group    string         `toml:"group" json:"group"`                           // upstream group that serves it
	Versions map[string]int `toml:"versions" json:"versions"`                     // share of unversioned requests by version
	Requests int            `toml:"requests,omitempty" json:"requests,omitempty"` // limit in requests per minute; 0 means none
	Tokens   int            `toml:"tokens,omitempty" json:"tokens,omitempty"`     // limit in answer tokens per minute; 0 means none
	Pinned   bool           `toml:"pinned,omitempty" json:"pinned,omitempty"`     // keep at least one resident copy
}
