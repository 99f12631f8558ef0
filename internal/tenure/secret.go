package tenure

import (
	"context"
	"crypto/rand"
	"time"

	"damaskreach/internal/rows"
)

// secretSpread is the time over which hosts that find the store empty spread the creation of their secret, and how often they check
// for one until then.
const secretSpread = 200 * time.Millisecond

// secretSize is the length of the secret in bytes.
const secretSize = 32

// ensureSecret creates the hosts' secret where there is none, or writes the known one again where the store has lost it.
func (t *Tenure) ensureSecret(ctx context.Context) {
	t.mu.Lock()
	if t.createSecretAt == 0 {
		t.createSecretAt = t.secretDue()
	}
	secret, keyed, early, outdated := t.secret, t.secretStored, t.Clock() < t.createSecretAt, t.readRev > 0 && t.eraOutdated()
	t.mu.Unlock()
	if keyed || outdated || secret == nil && early {
		return
	}
	if secret == nil {
		secret = make([]byte, secretSize)
		rand.Read(secret) // crashes the program rather than return an error
	}
	if !t.writeRows(ctx, "creation of the secret", "", rows.Row{Key: keyRow, Value: secret}) {
		t.forceRead()
	}
}

// secretDue returns when this host creates the secret if there is none by then. A host that finds others leaves it to those that may know
// it. Where all hosts start at an empty store, each waits for another time; else all would write at once and the store refuse all but one.
func (t *Tenure) secretDue() time.Duration {
	if len(t.hosts) > 0 {
		return t.startedAt + settleDelay
	}
	return t.Clock() + time.Duration(rank(t.IP)%uint64(secretSpread))
}
