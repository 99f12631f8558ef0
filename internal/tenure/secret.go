package tenure

import (
	"context"
	"math/rand/v2"

	"damaskreach/internal/rows"
)

// makeSecret makes the secret of the hosts where there is none.
func (t *Tenure) makeSecret(ctx context.Context) {
	if t.Secret() != nil {
		return
	}
	fresh := make([]byte, 32)
	for i := range fresh {
		fresh[i] = byte(rand.Uint32())
	}
	t.write(ctx, "secret of the hosts made", "", rows.Row{Key: keyRow, Value: fresh})
}
