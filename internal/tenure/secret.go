package tenure

import (
	"context"
	"crypto/rand"
	"time"

	"damaskreach/internal/rows"
)

// secretWithin is the time over which hosts that find the store empty spread the making of their secret, and how often they look
// for it until then.
const secretWithin = 200 * time.Millisecond

// secretSize is the length of the secret in bytes.
const secretSize = 32

// makeSecret makes the secret of the hosts where there is none, or writes the one that this host knows where the store has lost it.
func (t *Tenure) makeSecret(ctx context.Context) {
	t.mu.Lock()
	if t.makeAt == 0 {
		t.makeAt = t.secretTime()
	}
	secret, keyed, early, outdated := t.secret, t.keyed, t.Clock() < t.makeAt, t.at > 0 && t.outdated()
	t.mu.Unlock()
	if keyed || outdated || secret == nil && early {
		return
	}
	if secret == nil {
		secret = make([]byte, secretSize)
		rand.Read(secret) // ends the program rather than return an error
	}
	if !t.write(ctx, "secret of the hosts made", "", rows.Row{Key: keyRow, Value: secret}) {
		t.reread()
	}
}

// secretTime returns when this host makes the secret where none has by then. A host that finds others leaves it to those that know it. Where all hosts
// start at an empty store, all would make it at once and the store would refuse all but one; so each waits for another time.
func (t *Tenure) secretTime() time.Duration {
	if len(t.hosts) > 0 {
		return t.begun + settleFor
	}
	return t.Clock() + time.Duration(rank(t.IP)%uint64(secretWithin))
}
