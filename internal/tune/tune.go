// Package tune holds the options of the placement and batching policy.
package tune

import "time"

// Tune is part of the operators' table, so that every node decides alike.
type Tune struct {
	Stall      float64       `toml:"stall" json:"stall"`            // weight of load stalls against batch efficiency, 0 to 1
	Rare       int           `toml:"rare" json:"rare"`              // slots per runner kept for rarely used adapters
	Queue      int           `toml:"queue" json:"queue"`            // requests an owner queues per runner at the most
	First      time.Duration `toml:"first" json:"first"`            // first-token target
	Gap        time.Duration `toml:"gap" json:"gap"`                // token-gap target
	HalfLife   time.Duration `toml:"half-life" json:"halfLife"`     // of measured demand
	RetryShare float64       `toml:"retry-share" json:"retryShare"` // retries allowed as a share of requests
}

// Default returns the options used where the table names none.
func Default() Tune {
	return Tune{
		Stall:      0.5,
		Rare:       1,
		Queue:      64,
		First:      410 * time.Millisecond,
		Gap:        35 * time.Millisecond,
		HalfLife:   5 * time.Minute,
		RetryShare: 0.1,
	}
}
