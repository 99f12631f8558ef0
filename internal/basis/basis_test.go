package basis_test

import (
	"os"
	"reflect"
	"testing"

	"damaskreach/internal/basis"
	"damaskreach/internal/rows"
)

func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	empty, err := basis.Load(dir)
	if err != nil || empty.Rev() != 0 || len(empty.Keys()) != 0 {
		t.Errorf("Load() without a file = %v, %v, want an empty basis", empty, err)
	}
	b := empty.With([]rows.Row{{Key: "conf/a", Value: []byte("x"), Rev: 3}, {Key: "conf/b", Value: []byte("y"), Rev: 4}})
	b = b.With([]rows.Row{{Key: "conf/b", Rev: 5, Gone: true}}).WithRev(9)
	if err := b.Save(dir); err != nil {
		t.Fatal(err)
	}
	got, err := basis.Load(dir)
	if err != nil || got.Rev() != 9 || got.Of("conf/a") != 3 || !reflect.DeepEqual(got.Keys(), []string{"conf/a"}) {
		t.Errorf("Load() = rev %d, keys %q, %v, want rev 9, [conf/a] at 3", got.Rev(), got.Keys(), err)
	}
	if !got.Same("conf/a", []byte("x")) || got.Same("conf/a", []byte("z")) || got.Same("conf/b", []byte("y")) {
		t.Error("Same() takes a changed or absent row for the one in the basis, or the reverse")
	}
}

// The file was damaged, by a merge of two branches for example.
// Read as an empty basis, it would make every row of the table look new and every edit a conflict.
func TestDamagedFileIsAnError(t *testing.T) {
	for _, text := range []string{"", "x\n", "damaskctl revisions 1 9\n<<<<<<< ours\n"} {
		dir := t.TempDir()
		if err := os.WriteFile(basis.Path(dir), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := basis.Load(dir); err == nil {
			t.Errorf("Load() of %q = nil, want an error", text)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add("damaskctl revisions 1 9\n3 2d711642b726b044 conf/a\n")
	f.Fuzz(func(t *testing.T, text string) {
		dir := t.TempDir()
		if err := os.WriteFile(basis.Path(dir), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b, err := basis.Load(dir)
		if err != nil {
			return
		}
		if err := b.Save(dir); err != nil {
			t.Fatal(err)
		}
		if again, err := basis.Load(dir); err != nil || again.Rev() != b.Rev() || !reflect.DeepEqual(again.Keys(), b.Keys()) {
			t.Errorf("after Save: %d, %q, %v, want %d, %q", again.Rev(), again.Keys(), err, b.Rev(), b.Keys())
		}
	})
}
