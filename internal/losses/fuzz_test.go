package losses_test

import (
	"bytes"
	"io"
	"testing"

	"damaskreach/internal/losses"
)

// Logs are cut, mixed and garbled on their way to whoever reads them. Whatever comes, the sums are written or the input is said to
// have no line.
func FuzzRead(f *testing.F) {
	f.Add([]byte(ended(1, "chat", "ok", `,"goal":"600ms","first":"100ms","took":"900ms","note":"loaded"`)))
	f.Add([]byte(at(1, "adapter loaded", `,"target":"e1","adapter":"m/a","waited":"400ms","behind":"flow"`)))
	f.Add([]byte("{\"msg\":\"engine known\",\"ts\":\"2026-07-30T11:00:00.000Z\",\"born\":-1}\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sums := losses.NewLosses()
		if err := sums.Read(bytes.NewReader(data)); err != nil {
			t.Errorf("Read = %v, want nil", err)
		}
		if err := sums.Write(io.Discard); err != nil && len(err.Error()) == 0 {
			t.Error("Write fails without saying why")
		}
	})
}
