// Package basis remembers which revisions of the rows a declaration was made from.
package basis

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
	"damaskreach/internal/shard"
)

const (
	header   = "damaskctl revisions 1"
	fileName = ".revisions"
	fileMode = 0o644
	sumSize  = 8 // bytes of a SHA-256 that are kept
)

// Basis is what the table held when a declaration was got from it or applied to it. It is immutable.
// Without it an apply could not tell a row that the operator edited from one that another operator changed since,
// and would overwrite the other's edit without anyone noticing.
type Basis struct {
	rev   int64 // of the newest listing
	marks shard.Map[string, mark]
}

// mark is the state of one row.
type mark struct {
	rev int64
	sum string // of the canonical value
}

// NewBasis returns the basis of a declaration that was made from nothing.
func NewBasis() Basis {
	return Basis{marks: shard.NewMap[string, mark]()}
}

// Rev returns the highest revision the declaration has met.
func (b Basis) Rev() int64 {
	return b.rev
}

// Keys returns the keys of all rows in the basis, sorted.
func (b Basis) Keys() []string {
	return b.marks.Keys()
}

// Of returns the revision of a row, 0 for a row that did not exist.
func (b Basis) Of(key string) int64 {
	known, _ := b.marks.Get(key)
	return known.rev
}

// Same reports whether a canonical value is the one the basis has.
func (b Basis) Same(key string, value []byte) bool {
	known, ok := b.marks.Get(key)
	return ok && known.sum == sum(value)
}

// With returns a copy that has rows, given with canonical values, as its state of them; deleted ones are left out.
func (b Basis) With(changed []rows.Row) Basis {
	set := make(map[string]mark, len(changed))
	var drop []string
	for _, row := range changed {
		b.rev = max(b.rev, row.Rev)
		if row.Gone {
			drop = append(drop, row.Key)
			continue
		}
		set[row.Key] = mark{row.Rev, sum(row.Value)}
	}
	b.marks = b.marks.With(set, drop...)
	return b
}

// WithRev returns a copy that has met a revision.
func (b Basis) WithRev(rev int64) Basis {
	b.rev = max(b.rev, rev)
	return b
}

func sum(value []byte) string {
	full := sha256.Sum256(value)
	return hex.EncodeToString(full[:sumSize])
}

// Path returns the file that keeps the basis of a declaration: .revisions in a folder, or beside a single file.
func Path(declaration string) string {
	if info, err := os.Stat(declaration); err == nil && !info.IsDir() {
		return declaration + fileName
	}
	return filepath.Join(declaration, fileName)
}

// Load reads the basis of a declaration; a declaration without one is made from nothing.
func Load(declaration string) (Basis, error) {
	path := Path(declaration)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return NewBasis(), nil
	}
	if err != nil {
		return Basis{}, merry.Prepend(err, "reading the revisions")
	}
	b, err := parse(data)
	return b, merry.Prependf(err, "reading %s", path)
}

// Save writes the basis of a declaration.
func (b Basis) Save(declaration string) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %d\n", header, b.rev)
	for _, key := range b.Keys() {
		known, _ := b.marks.Get(key)
		fmt.Fprintf(&out, "%d %s %s\n", known.rev, known.sum, key)
	}
	path := Path(declaration)
	if err := os.WriteFile(path+".new", out.Bytes(), fileMode); err != nil {
		return merry.Prepend(err, "writing the revisions")
	}
	return merry.Prepend(os.Rename(path+".new", path), "writing the revisions")
}

func parse(data []byte) (Basis, error) {
	lines := bufio.NewScanner(bytes.NewReader(data))
	b := NewBasis()
	if !lines.Scan() {
		return b, merry.New("it is empty")
	}
	if _, err := fmt.Sscanf(lines.Text(), header+" %d", &b.rev); err != nil {
		return b, merry.Errorf("line 1 is not %q and a revision", header)
	}
	set := make(map[string]mark)
	for number := 2; lines.Scan(); number++ {
		var known mark
		var key string
		if _, err := fmt.Sscanf(lines.Text(), "%d %s %s", &known.rev, &known.sum, &key); err != nil {
			return b, merry.Errorf("line %d: %q is not a revision, a checksum and a key", number, strings.TrimSpace(lines.Text()))
		}
		set[key] = known
	}
	b.marks = b.marks.With(set)
	return b, lines.Err()
}
