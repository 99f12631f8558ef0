package engsim

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Answer returns the tokens with which every engine answers prompt on model, an adapter@version.
// Each token names the adapter, the version, its own index and a hash of all that was asked,
// so that a checker can tell any other answer, and any other order, from the right one.
func Answer(model, prompt string, tokens int) []string {
	adapter, version, _ := strings.Cut(model, "@")
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\x00%s", model, prompt)
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = fmt.Sprintf("%s/%s/%d/%016x ", adapter, version, i, sum.Sum64())
	}
	return answer
}
