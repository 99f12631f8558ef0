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
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	t.mu.Lock()
	known := t.hosts[t.IP]
	passive := t.young() || !t.holder()
	t.mu.Unlock()
	if passive && known.Passive && !known.Ended && known.Start == t.start {
		// Once it knows of more engines, or fewer hosts, it may be one of those that give orders.
		return firstEvery
	}
	sent := t.Clock()
	s := session{
		IP: t.IP, Peers: t.Peers, Callers: t.Callers, Centre: t.Centre, Power: t.Power, Start: t.start, Epoch: known.Epoch,
		Passive: passive, Rates: t.Measured(),
	}
	if known.Ended || known.rev == 0 {
		s.Epoch++
	}
	edits := append([]rows.Row{{Key: hostPrefix + t.IP, Value: encode(s), Rev: known.rev}}, t.Beside()...)
	rev, err := t.Table.Write(ctx, edits...)
	if err != nil {
		t.Stats.Add(stats.Renewals, 1, "outcome", "failed")
		t.renewFailed(ctx, err)
		return firstEvery
	}
	t.Stats.Add(stats.Renewals, 1, "outcome", "ok")
	t.mu.Lock()
	defer t.mu.Unlock()
	if known.Ended || !t.renewed && !passive {
		// Engines may have been taken over meanwhile. What is believed of them is as of a reading before this renewal.
		t.unsure = true
		t.Log.Info("session begun", zap.String("host", t.IP), zap.String("start", t.start), zap.Int64("revision", rev))
	}
	if known.session != s.withRates(known.Rates) {
		t.untold = true
		t.mark = max(t.mark, rev)
	}
	t.renewed = !passive
	t.epoch = s.Epoch
	t.sent = sent
	t.hosts[t.IP] = seen{session: s, rev: rev, since: sent}
	if t.unsure || passive {
		return firstEvery
	}
	return renewEvery
}

// renewFailed finds out how the row stands where the failure leaves that open. An answer that was lost may belong to a
// renewal that took effect; its revision is not known then, and the next renewal would fail against it.
func (t *Tenure) renewFailed(ctx context.Context, cause error) {
	t.Log.Info("session not renewed", zap.String("host", t.IP), zap.Duration("left", t.Left()), zap.Error(cause))
	if errors.Is(cause, table.ErrDown) {
		return
	}
	row, err := t.Table.Read(ctx, hostPrefix+t.IP)
	if errors.Is(err, table.ErrAbsent) {
		row, err = rows.Row{Key: hostPrefix + t.IP, Gone: true}, nil
	}
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeHost(t.IP, row, t.Clock())
	if t.hosts[t.IP].Start != t.start {
		t.renewed = false
	}
}

// Left returns how much of the lease is left; it is negative once it has ended.
func (t *Tenure) Left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left()
}

func (t *Tenure) left() time.Duration {
	if !t.renewed {
		return -Lease
	}
	return t.sent + Lease - t.Clock()
}
