package bench

// Stall returns the weight of load stalls that a site has set: Almaty weighs stalls more, Kingston full batches.
func Stall(site string) float64 {
	if site == "kingston" {
		return 0.2
	}
	return 0.9
}
