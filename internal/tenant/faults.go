package tenant

import (
	"encoding/hex"
	"slices"

	"damaskreach/internal/fault"
	"damaskreach/internal/names"
)

const (
	maxWeight = 1_000_000
	sumSize   = 32 // bytes of a SHA-256
)

// Faults returns what is wrong with the row by itself.
func (t Tenant) Faults() []fault.Fault {
	faults := names.Faults("name", t.Name)
	if t.Weight < 0 || t.Weight > maxWeight {
		faults = append(faults, fault.NewFault("weight", "%d is out of range: 0 to %d", t.Weight, maxWeight))
	}
	if t.Requests < 0 {
		faults = append(faults, fault.NewFault("requests", "%d is below 0", t.Requests))
	}
	if t.Tokens < 0 {
		faults = append(faults, fault.NewFault("tokens", "%d is below 0", t.Tokens))
	}
	for i, key := range t.Keys {
		faults = append(faults, keyFaults(key, i+1, t.Keys[:i])...)
	}
	return faults
}

// keyFaults names a key by its position: an operator who put the key itself there would else find it in logs.
func keyFaults(key string, number int, earlier []string) []fault.Fault {
	if raw, err := hex.DecodeString(key); err != nil || len(raw) != sumSize {
		return []fault.Fault{fault.NewFault("keys", "entry %d is not a SHA-256 in hexadecimal", number)}
	}
	if slices.Contains(earlier, key) {
		return []fault.Fault{fault.NewFault("keys", "entry %d stands twice", number)}
	}
	return nil
}
