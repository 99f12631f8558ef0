// Package model holds what the configuration says of a base model.
package model

import "time"

// Model is immutable.
type Model struct {
	Name     string
	Size     int           // of its weights, in MB
	Load     time.Duration // from the weight store
	DiskLoad time.Duration // from the runner's own disk
	Adapter  int           // size of one adapter, in MB
}
