package direct

// goesOn reports whether the request may be sent once more after a send that may have run. A stream that has used up its runs returns to the upstream where
// it was cut off only since it was silent: it runs at no more upstreams by that, and broken off it would be lost.
func (j *job) goesOn() bool {
	if j.again() {
		return true
	}
	if j.moved == nil {
		return false
	}
	j.only, j.moved = j.moved, nil
	return true
}

// onlyGone reports whether the one upstream where a request may go on takes no more requests.
func (x *Direct) onlyGone(j *job) bool {
	return j.only != nil && !x.still(*j.only)
}
