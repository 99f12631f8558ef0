//go:build !race

package wire_test

// mostAllocations is the bound of TestMessageAllocations for one message, sent and received.
const mostAllocations = 0

// mostQuestion is the bound of TestQuestionAllocations for a question and its answer, both sides.
const mostQuestion = 34
