package slope_test

import (
	"flag"
	"testing"
	"testing/synctest"

	"damaskreach/internal/slope"
)

var write = flag.String("write", "", "page whose figures are replaced; without it nothing is measured")

func TestSlopes(t *testing.T) {
	if *write == "" {
		t.Skip("it measures, which 'make slopes' asks for")
	}
	bubble := func(run func()) { synctest.Test(t, func(*testing.T) { run() }) }
	if err := slope.Write(*write, bubble); err != nil {
		t.Fatal(err)
	}
}
