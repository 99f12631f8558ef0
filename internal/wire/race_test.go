//go:build race

package wire_test

// mostAllocations is higher here: under the race detector pools drop a part of what is put into them.
const mostAllocations = 4

// mostQuestion is higher for the same reason.
const mostQuestion = 45
