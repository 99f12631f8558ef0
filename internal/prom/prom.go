// Package prom writes metrics in the text exposition format of Prometheus, version 0.0.4.
//
// Times go into histograms with fixed bounds and not into sampled ones: the buckets of all hosts can be added up, quantiles
// of samples cannot.
package prom

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Kind is the content type of the format.
const Kind = "text/plain; version=0.0.4; charset=utf-8"

// Prefix begins the name of every metric.
const Prefix = "damaskreach_"

// escapes are those that the format knows; a tenant's or class's name with a line end would otherwise break the whole page.
var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Quote returns a value of a label in quotes.
func Quote(value string) string {
	return `"` + escapes.Replace(value) + `"`
}

// Float returns a number as the format has it.
func Float(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// Head writes what comes before the values of one metric; kind is "counter", "gauge" or "histogram".
func Head(out io.Writer, name, help, kind string) {
	fmt.Fprintf(out, "# HELP %s%s %s\n# TYPE %s%s %s\n", Prefix, name, help, Prefix, name, kind)
}
