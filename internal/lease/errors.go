package lease

import (
	"errors"

	"damaskreach/internal/table"
)

func isAbsent(err error) bool {
	return errors.Is(err, table.ErrAbsent)
}

func isConflict(err error) bool {
	return errors.Is(err, table.ErrConflict)
}
