package proxy

// allowResend reports whether the request may be sent again after a send that may have run. A stream that may not run at any
// further upstream may return once to the one where it was cut only for its silence, instead of being lost.
func (j *job) allowResend() bool {
	if j.mayRunAgain() {
		return true
	}
	if j.movedFrom == nil {
		return false
	}
	j.pinned, j.movedFrom = j.movedFrom, nil
	return true
}

// pinnedGone reports whether the one upstream where a request may continue takes no more requests.
func (p *Proxy) pinnedGone(j *job) bool {
	return j.pinned != nil && !p.usable(*j.pinned)
}
