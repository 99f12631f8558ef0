package place

// Unavailable returns the named runners that have no known digest or whose digest says that they accept no requests. A call
// refused while some are unavailable may only have come before their digests.
func (p *Place) Unavailable(names []string) []string {
	var unavailable []string
	for _, name := range names {
		if t := p.runners[name]; t == nil || t.digest.Closed {
			unavailable = append(unavailable, name)
		}
	}
	return unavailable
}
