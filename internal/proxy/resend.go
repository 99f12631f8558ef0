package proxy

// allowResend reports whether the request may be sent again after a send that may have run. If it may run at no further upstream, a
// stream that was cut only because its upstream was silent may return to that upstream once, instead of being lost.
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
