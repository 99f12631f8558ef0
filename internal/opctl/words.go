package opctl

import (
	"fmt"
	"strings"

	"damaskreach/internal/table"
)

// shown is how many names a line lists before it only counts.
const shown = 5

// count writes a number with its noun.
func count(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", number, noun)
}

// some lists the first of names and counts the rest.
func some(names []string) string {
	if len(names) <= shown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:shown], ", "), len(names)-shown)
}

// short is a row's key as operators write it: adapter/NAME.
func short(key string) string {
	return strings.TrimPrefix(key, table.PrefixConf)
}

// full is the key of a row as operators write it, or as the table has it.
func full(word string) string {
	return table.PrefixConf + short(word)
}
