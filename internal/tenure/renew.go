package tenure

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
)

// renew writes this host's session row and returns the time to the next renewal.
func (t *Tenure) renew(ctx context.Context) time.Duration {
	t.mu.Lock()
	known, era := t.hosts[t.IP], t.era
	passive := t.siteStarting() || !t.shouldOwn()
	epoch, begins := t.sessionEpoch(known)
	now := t.Clock()
	checks := t.renewalChecks(begins)
	settled, early := t.checkEraSettled(now), begins && t.epoch > 0 && !known.Ended && now-t.lastRenewal < t.takeoverWait()
	state, taken := t.nextPart(known, begins, passive)
	t.mu.Unlock()
	if early {
		// Nobody has ended the previous session, so nobody has waited for its lease: others would take its engines at once.
		return shortInterval
	}
	if passive && known.Passive && !known.Ended && known.StartID == t.startID && known.Part == state {
		// With more engines or fewer hosts, this host may become an owner.
		return shortInterval
	}
	sent := t.Clock()
	s := session{
		IP: t.IP, PeerAddr: t.PeerAddr, CallerAddr: t.CallerAddr, Centre: t.Centre, Cores: t.Cores, StartID: t.startID, Epoch: epoch,
		Passive: passive, EraSettled: settled, Part: state, Taken: taken, Rates: t.LocalRates(),
	}
	edits := append([]rows.Row{{Key: hostPrefix + t.IP, Value: encode(s), Rev: known.rev}}, t.ExtraRows()...)
	room := min(len(checks), max(0, maxTxEntries-1-len(edits)))
	edits = append(edits, checks[:room]...)
	rev, err := t.writeRenewal(ctx, known.rev, s.Epoch, sent, checks[:room], edits)
	if err != nil {
		t.Stats.Add(stats.Renewals, 1, "outcome", "failed")
		if t.resolveFailedRenewal(ctx, sent, err) {
			return renewDelay(t.confirmedDelay(sent), room, len(checks))
		}
		return t.retryDelay()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now, _ := rows.Era(rev); now != era {
		// The expected revision was issued again in a new era; the row written names a session of the era before.
		t.Stats.Add(stats.Renewals, 1, "outcome", "failed")
		t.enterEra(now, t.Clock())
		return shortInterval
	}
	t.Stats.Add(stats.Renewals, 1, "outcome", "ok")
	if begins || !t.hasSession && !passive {
		// Engines may have been taken over meanwhile, and known rows are older than this renewal. Not so for a session that has just begun: it
		// has no claims yet, and each new claim expects the revision of the row that it replaces.
		t.ownersStale, t.sessionBegan = !begins, begins && !passive
		t.Log.Info("session begun", zap.String("host", t.IP), zap.String("start", t.startID), zap.Int64("revision", rev),
			zap.Bool("ended", known.Ended), zap.Duration("after", sent-t.lastRenewal))
	}
	if known.session != s.withRates(known.Rates) {
		t.sessionUnpublished = true
		t.newestRev = max(t.newestRev, rev)
	}
	if begins {
		t.beginPart(sent)
	}
	t.hasSession, t.passiveSession = !passive, passive
	t.epoch = s.Epoch
	t.lastRenewal = sent
	for _, row := range checks[:room] {
		t.markChecked(row.Key, sent)
	}
	t.hosts[t.IP] = hostRow{session: s, rev: rev, seenAt: sent}
	t.notePart(rev)
	t.unconfirmed = unconfirmedRenewals{}
	t.pace.succeeded(t.Clock() - sent)
	if t.ownersStale || t.sessionBegan || passive {
		return shortInterval
	}
	return renewDelay(t.pace.delay(), room, len(checks))
}

// writeRenewal writes a renewal that replaces a revision of this host's row.
func (t *Tenure) writeRenewal(
	ctx context.Context, rev, epoch int64, sent time.Duration, checks, edits []rows.Row,
) (int64, error) {
	t.mu.Lock()
	left := t.sessionLeft()
	t.noteRenewal(rev, epoch, sent, checks)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout(left))
	defer cancel()
	return t.Table.Write(ctx, edits...)
}

// retryDelay returns how long to wait after a failed renewal.
func (t *Tenure) retryDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.failed(t.sessionLeft())
}

// sessionEpoch returns the epoch that this host's next renewal names, and whether that begins a session.
func (t *Tenure) sessionEpoch(known hostRow) (epoch int64, begins bool) {
	if t.sessionVoid(known) && t.epoch > 0 && t.sessionLeft() > 0 {
		// A late write of the era before has replaced the row. Others can end this session only in the row that the renewal replaces.
		return t.epoch, false
	}
	if t.sessionVoid(known) || known.Ended {
		return t.nextToken(known.rev), true
	}
	return known.Epoch, false
}

// confirmedDelay returns how long after it was sent a renewal is followed by the next, if its answer was lost and the store's row shows that it, or one
// before it, was applied. Repeated as one that failed it would take the place of another host's in a store that is slow already.
func (t *Tenure) confirmedDelay(sent time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pace.succeeded(t.Clock() - t.lastRenewal)
	return max(minRetryDelay, t.lastRenewal+t.pace.delay()-sent)
}

// resolveFailedRenewal reads this host's row if the error leaves open whether the renewal was applied, and reports whether it was. A renewal whose answer
// was lost may have been applied; its revision is then unknown, and the next renewal would conflict with it.
func (t *Tenure) resolveFailedRenewal(ctx context.Context, sent time.Duration, cause error) (applied bool) {
	t.Log.Info("session not renewed", zap.String("host", t.IP), zap.Duration("left", t.LeaseLeft()), zap.Error(cause))
	if errors.Is(cause, table.ErrDown) {
		t.forgetRenewal(sent)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.Table.Read(ctx, hostPrefix+t.IP)
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Log.Info("session as the store has it", zap.Int64("revision", row.Rev), zap.Int64("expected", t.hosts[t.IP].rev))
	if err != nil {
		// The next read tells whether the store was restored without the row.
		t.rowsDoubtful = true
		return false
	}
	if era, _ := rows.Era(row.Rev); era > t.era {
		t.enterEra(era, t.Clock())
		return false
	}
	t.rowsDoubtful = t.rowsDoubtful || errors.Is(cause, table.ErrConflict) && row.Rev == t.hosts[t.IP].rev
	applied = t.confirmRenewal(row)
	t.applyHost(t.IP, row, t.Clock())
	t.notePart(row.Rev)
	if t.hosts[t.IP].StartID != t.startID {
		t.hasSession = false
	}
	return applied && !t.rowsDoubtful
}

// LeaseLeft returns how much of the lease is left; it is negative once the lease has ended.
func (t *Tenure) LeaseLeft() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.sessionLeft(), t.carriedLeft())
}

func (t *Tenure) sessionLeft() time.Duration {
	if !t.hasSession {
		return -Lease
	}
	return t.lastRenewal + Lease - t.Clock()
}

// takeSessionBegan reports, once, whether this host's session has just begun.
func (t *Tenure) takeSessionBegan() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := t.sessionBegan
	t.sessionBegan = false
	return began
}
