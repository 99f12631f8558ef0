package apikey_test

import (
	"fmt"
	"strings"
	"testing"

	"damaskreach/internal/apikey"
)

// A key is printed with what it belongs to, in a line or a dump. Whoever reads it could ask in the name of its team.
func TestPrintedKeyDoesNotShow(t *testing.T) {
	const secret = "asnmgkcuyj8pjbvk9m68"
	for _, format := range []string{"%v", "%+v", "%s", "%q"} {
		if got := fmt.Sprintf(format, apikey.NewKey(secret)); strings.Contains(got, secret) || !strings.Contains(got, "key") {
			t.Errorf("printed by %s: %q, want that it is a key and nothing of it", format, got)
		}
	}
}

func TestKeysAreComparedByWhatTheyAre(t *testing.T) {
	one, again, other := apikey.NewKey("a"), apikey.NewKey("a"), apikey.NewKey("b")
	if one != again || one == other {
		t.Error("keys are equal where their texts are, want just that")
	}
	if got := apikey.NewKey(""); got != (apikey.Key{}) || got.Given() {
		t.Errorf("NewKey(\"\") = %v, want no key", got)
	}
}
