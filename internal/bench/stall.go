package bench

// Stall returns the weight of load stalls that a site has set: Almaty weighs stalls more, Kingston and its rush full batches.
func Stall(site string) float64 {
	if site == "almaty" {
		return 0.9
	}
	return 0.3
}
