package judge_test

import (
	"strings"
	"testing"

	"damaskreach/internal/judge"
	"damaskreach/internal/stand/recrd"
)

// Each case is a system that is broken in one way; the judge must name what went wrong, or a run with that fault would
// count as passed.
func TestEveryBreachIsCaught(t *testing.T) {
	whole := recrd.Record{Request: "r", Model: "a@v1", End: recrd.Whole}
	cut := recrd.Record{Request: "r", Model: "a@v1", End: recrd.Cut}
	other := recrd.Record{Request: "r", Model: "b@v1", End: recrd.Whole}
	stray := recrd.Record{Request: "s", Model: "a@v1", End: recrd.Whole}
	cases := []struct {
		name    string
		verdict string
		whole   bool
		text    string
		lost    bool
		records []recrd.Record
		want    string
	}{
		{"doubled", "ran", true, "text", false, []recrd.Record{whole, whole}, "ran 2 times"},
		{"untrue refusal", "not-run", false, "", false, []recrd.Record{cut}, "refused as not run"},
		{"another's answer", "ran", true, "other", false, []recrd.Record{whole}, "got \"other\""},
		{"invented answer", "ran", true, "text", false, nil, "no upstream gave one"},
		{"wrong adapter", "ran", true, "text", false, []recrd.Record{other}, "ran on"},
		{"lost", "", false, "", true, nil, "never got an answer"},
		{"unasked", "ran", true, "text", false, []recrd.Record{whole, stray}, "no caller sent it"},
		{"sound", "ran", true, "text", false, []recrd.Record{whole}, ""},
	}
	for _, c := range cases {
		j := judge.NewJudge()
		j.Sent("r", "", true, "a@v1", "text")
		if !c.lost {
			j.Got("r", 200, c.verdict, c.whole, c.text)
		}
		got := strings.Join(j.Breaches(c.records), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: got breaches %q, want %q", c.name, got, c.want)
		}
	}
}

// A caller repeats a booking with the same key after its first try got no answer. The judge must count both tries as one
// request: two executions are a breach, one whose answer the repeat got is none.
func TestRepeatsWithOneKeyAreOneRequest(t *testing.T) {
	first := recrd.Record{Request: "1", Key: "k", End: recrd.Whole}
	second := recrd.Record{Request: "2", Key: "k", End: recrd.Whole}
	for _, c := range []struct {
		records []recrd.Record
		want    int
	}{{[]recrd.Record{first}, 0}, {[]recrd.Record{first, second}, 2}} {
		j := judge.NewJudge()
		j.Sent("1", "k", true, "", "text")
		j.Got("1", 0, "", false, "")
		j.Sent("2", "k", true, "", "text")
		j.Got("2", 200, "ran", true, "text")
		if got := j.Breaches(c.records); len(got) != c.want {
			t.Errorf("%d executions: got breaches %q, want %d", len(c.records), got, c.want)
		}
	}
}
