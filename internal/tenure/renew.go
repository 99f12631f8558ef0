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

// renew writes this host's row and returns when to do so next.
func (t *Tenure) renew(ctx context.Context) time.Duration {
	t.mu.Lock()
	known, era := t.hosts[t.IP], t.era
	passive := t.young() || !t.holder()
	epoch, begins := t.epochFor(known)
	now := t.Clock()
	checks := t.checks(begins)
	calm, early := t.settledEra(now), begins && t.epoch > 0 && !known.Ended && now-t.sent < t.wait()
	t.mu.Unlock()
	if early {
		// Nobody has ended the session before this one, so nobody has waited for its lease: others would take its engines at once.
		return firstEvery
	}
	if passive && known.Passive && !known.Ended && known.Start == t.start {
		// Once it knows of more engines, or fewer hosts, it may be one of those that give orders.
		return firstEvery
	}
	sent := t.Clock()
	s := session{
		IP: t.IP, Peers: t.Peers, Callers: t.Callers, Centre: t.Centre, Power: t.Power, Start: t.start, Epoch: epoch,
		Passive: passive, Calm: calm, Rates: t.Measured(),
	}
	edits := append([]rows.Row{{Key: hostPrefix + t.IP, Value: encode(s), Rev: known.rev}}, t.Beside()...)
	room := min(len(checks), max(0, mostEntries-1-len(edits)))
	edits = append(edits, checks[:room]...)
	rev, err := t.writeRenewal(ctx, known.rev, s.Epoch, sent, checks[:room], edits)
	if err != nil {
		t.Stats.Add(stats.Renewals, 1, "outcome", "failed")
		t.renewFailed(ctx, err)
		return t.again()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now, _ := rows.Era(rev); now != era {
		// It expected a revision that was given out again; what it wrote names a session of the era before.
		t.Stats.Add(stats.Renewals, 1, "outcome", "failed")
		t.enter(now, t.Clock())
		return firstEvery
	}
	t.Stats.Add(stats.Renewals, 1, "outcome", "ok")
	if begins || !t.renewed && !passive {
		// Engines may have been taken over meanwhile. What is believed of them is as of a reading before this renewal. No claim names a session that
		// has just begun, and a new one replaces the row that it was made from.
		t.unsure, t.starts = !begins, begins && !passive
		t.Log.Info("session begun", zap.String("host", t.IP), zap.String("start", t.start), zap.Int64("revision", rev))
	}
	if known.session != s.withRates(known.Rates) {
		t.untold = true
		t.mark = max(t.mark, rev)
	}
	t.renewed = !passive
	t.epoch = s.Epoch
	t.sent = sent
	for _, row := range checks[:room] {
		t.checked(row.Key, sent)
	}
	t.hosts[t.IP] = seen{session: s, rev: rev, since: sent}
	t.tried = tried{}
	t.pace.served(t.Clock() - sent)
	if t.unsure || t.starts || passive {
		return firstEvery
	}
	return renewIn(t.pace.pause(), room, len(checks))
}

// writeRenewal writes a renewal that replaces a revision of this host's row.
func (t *Tenure) writeRenewal(
	ctx context.Context, rev, epoch int64, sent time.Duration, checks, edits []rows.Row,
) (int64, error) {
	t.mu.Lock()
	left := t.left()
	t.try(rev, epoch, sent, checks)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTime(left))
	defer cancel()
	return t.Table.Write(ctx, edits...)
}

// again returns how long to wait after a renewal that failed.
func (t *Tenure) again() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.refused(t.left())
}

// epochFor returns the epoch of the session that this host's next renewal names, and whether that begins it.
func (t *Tenure) epochFor(known seen) (epoch int64, begins bool) {
	if t.void(known) && t.epoch > 0 && t.left() > 0 {
		// A write of the era before has come late. Others can end this session only in the row that the renewal replaces.
		return t.epoch, false
	}
	if t.void(known) || known.Ended {
		return t.next(known.rev), true
	}
	return known.Epoch, false
}

// renewFailed finds out how the row stands where the failure leaves that open. An answer that was lost may belong to a
// renewal that took effect; its revision is not known then, and the next renewal would fail against it.
func (t *Tenure) renewFailed(ctx context.Context, cause error) {
	t.Log.Info("session not renewed", zap.String("host", t.IP), zap.Duration("left", t.Left()), zap.Error(cause))
	if errors.Is(cause, table.ErrDown) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	row, err := t.Table.Read(ctx, hostPrefix+t.IP)
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Log.Info("session as the store has it", zap.Int64("revision", row.Rev), zap.Int64("expected", t.hosts[t.IP].rev))
	if err != nil {
		// The next reading tells whether the store came back without the row.
		t.doubt = true
		return
	}
	if era, _ := rows.Era(row.Rev); era > t.era {
		t.enter(era, t.Clock())
		return
	}
	t.doubt = t.doubt || errors.Is(cause, table.ErrConflict) && row.Rev == t.hosts[t.IP].rev
	t.settle(row)
	t.takeHost(t.IP, row, t.Clock())
	if t.hosts[t.IP].Start != t.start {
		t.renewed = false
	}
}

// Left returns how much of the lease is left; it is negative once it has ended.
func (t *Tenure) Left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.left(), t.keptLeft())
}

func (t *Tenure) left() time.Duration {
	if !t.renewed {
		return -Lease
	}
	return t.sent + Lease - t.Clock()
}

// started reports once whether this host's session has just begun.
func (t *Tenure) started() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := t.starts
	t.starts = false
	return started
}
