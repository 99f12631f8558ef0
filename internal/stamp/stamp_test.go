package stamp_test

import (
	"reflect"
	"testing"

	"damaskreach/internal/stamp"
)

func TestStampComesOffAsItWentOn(t *testing.T) {
	mark := stamp.Stamp{By: `k"i}m`, Edit: "e1", Over: 7, After: "e0", Before: map[string]int{"v1": 1}}
	value := `{"name":"a,\"stamp\":{"}`
	stamped := mark.Add([]byte(value))
	if got := stamp.Of(stamped); !reflect.DeepEqual(got, mark) {
		t.Errorf("Of() = %+v, want %+v", got, mark)
	}
	if got := string(stamp.Strip(stamped)); got != value {
		t.Errorf("Strip() = %s, want %s", got, value)
	}
}

// A script wrote a row with members after the stamp. Cut off with it, they would be lost to every node.
func TestStripKeepsWhatFollowsAStamp(t *testing.T) {
	for _, value := range []string{`{"a":1,"stamp":{"by":"x"},"name":"a"}`, `{"a":1,"stamp":{`, `{"stamp":{}}`, ``, `{`} {
		if got := string(stamp.Strip([]byte(value))); got != value {
			t.Errorf("Strip(%s) = %s, want it unchanged", value, got)
		}
	}
}
