//go:build !race

package wire_test

// mostAllocations is the bound of TestMessageAllocations for one message, sent and received.
const mostAllocations = 0
