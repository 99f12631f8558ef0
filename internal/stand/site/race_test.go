//go:build race

package site_test

// mostAllocs is higher here: under the race detector pools drop a part of what is put into them.
const mostAllocs = 6
