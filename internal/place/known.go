package place

// Lacking returns those of the named runners of which no digest is known that says that they take work. Whoever refuses a
// call while some are lacking may only not have heard of them.
func (p *Place) Lacking(names []string) []string {
	var lacking []string
	for _, name := range names {
		if t := p.runners[name]; t == nil || t.digest.Closed {
			lacking = append(lacking, name)
		}
	}
	return lacking
}
