package lease

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/table"
)

// errBehind means that an earlier renewal had taken effect, so that the next one has to build on its revision.
var errBehind = merry.Sentinel("lease: an earlier renewal took effect")

func isAbsent(err error) bool {
	return errors.Is(err, table.ErrAbsent)
}

func isConflict(err error) bool {
	return errors.Is(err, table.ErrConflict)
}
