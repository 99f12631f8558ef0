package tenure

import (
	"context"
	"crypto/rand"

	"damaskreach/internal/rows"
)

// secretSize is the length of the secret in bytes.
const secretSize = 32

// makeSecret makes the secret of the hosts where there is none, or writes the one that this host knows where the store has lost it.
func (t *Tenure) makeSecret(ctx context.Context) {
	t.mu.Lock()
	secret, keyed, outdated := t.secret, t.keyed, t.at > 0 && t.outdated()
	t.mu.Unlock()
	if keyed || outdated {
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
