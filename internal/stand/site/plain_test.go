//go:build !race

package site_test

// mostAllocs is the bound of TestAllocationsPerStreamedToken, the canned engine's and the caller's own included.
// What the nodes do beside the stream counts too, so it is not zero.
const mostAllocs = 0.5
