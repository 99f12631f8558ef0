// Package tenant holds the operators' row of one tenant.
package tenant

// Tenant is a customer whose requests share limits and a fair share.
type Tenant struct {
	Name     string   `toml:"name" json:"name"`
	Weight   int      `toml:"weight,omitempty" json:"weight,omitempty"`     // fair share against other tenants; 0 means 1
	Requests int      `toml:"requests,omitempty" json:"requests,omitempty"` // limit in requests per minute; 0 means none
	Tokens   int      `toml:"tokens,omitempty" json:"tokens,omitempty"`     // limit in answer tokens per minute; 0 means none
	Keys     []string `toml:"keys,omitempty" json:"keys,omitempty"`         // SHA-256 of the tenant's API keys, in hexadecimal
}
