package opctl_test

import (
	"fmt"
	"strings"
	"testing"

	"damaskreach/internal/stand/rowdb"
)

// BenchmarkApply57000 measures the first apply of 57,000 adapters, a get of them and a diff, without a network.
func BenchmarkApply57000(b *testing.B) {
	var sheet strings.Builder
	sheet.WriteString("name,tenant,group,versions\n")
	for i := range 57000 {
		fmt.Fprintf(&sheet, "adapter-%05d,roads,assist,v1:90;v2:10\n", i)
	}
	for b.Loop() {
		db := rowdb.NewDB()
		kim := newOperator(b, "kim", db)
		kim.put(b, files)
		kim.put(b, map[string]string{"adapters.csv": sheet.String()})
		kim.must(b, "apply", kim.dir)
		amina := newOperator(b, "amina", db)
		amina.must(b, "get", amina.dir)
		amina.must(b, "diff", amina.dir)
	}
}
