package check_test

import (
	"testing"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/check"
	"damaskreach/internal/stand/recrd"
)

const grace = 5 * time.Second

// at returns a time of the run, in seconds from its beginning.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Each run keeps the rules in its first form and breaks one of them in its second: a check that lets the second pass
// would report a broken site as sound.
func TestChecksCatchBrokenRuns(t *testing.T) {
	start := func(process string, fence int64, when float64) action.Action {
		return action.Action{Kind: action.Start, Process: process, Runner: "r", Fence: fence, Request: "q", At: at(when), End: at(when + 1)}
	}
	unload := action.Action{Kind: action.Unload, Process: "a", Runner: "r", Model: "m", At: at(10), End: at(11)}
	run := func(from, to float64) []recrd.Record {
		return []recrd.Record{{Model: "m", Request: "q", Started: at(from), Finished: at(to), End: recrd.Whole}}
	}
	handed := func(made float64) []recrd.Record {
		return []recrd.Record{{Model: "m", Request: "q", Started: at(8), Made: at(made), Finished: at(20), End: recrd.Cancelled}}
	}
	endless := []recrd.Record{{Model: "m", Request: "q", Started: at(9)}}
	noticed := []recrd.Record{{Model: "m", Breach: "unloaded while in use", Finished: at(3)}}
	force := func(process string, rev int64, when float64) action.Action {
		return action.Action{Kind: action.Force, Process: process, Rev: rev, At: at(when)}
	}
	mark := func(kind string, when float64) action.Action {
		return action.Action{Kind: kind, Process: "a", Runner: "r", Rev: 7, At: at(when)}
	}
	answer := func(from, to float64, fault string) action.Action {
		return action.Action{Kind: action.Answer, Process: "a", Request: "q", At: at(from), End: at(to), Fault: fault}
	}
	type actions = []action.Action
	givers := func(a actions) []check.Breach { return check.Givers(a) }
	leaving := func(a actions) []check.Breach { return check.Leaving(a, grace) }
	missing := func(a actions) []check.Breach { return check.Missing(a, grace, at(100)) }
	unloads := func(records, noticed []recrd.Record) func(actions) []check.Breach {
		return func(a actions) []check.Breach { return check.Unloads("r", records, noticed, a) }
	}
	refused := action.Action{Kind: action.Answer, Request: "q", At: at(1), End: at(3), Fault: "refused", NotRun: true}
	refusals := func(records []recrd.Record) func(actions) []check.Breach {
		return func(a actions) []check.Breach { return check.Refusals(records, a) }
	}
	tests := []struct {
		name  string
		check func(actions) []check.Breach
		run   actions
		want  int
	}{
		{"owners under their own fences", givers, actions{start("a", 1, 1), start("b", 2, 2), start("a", 1, 3)}, 0},
		{"two owners under one fence", givers, actions{start("a", 1, 1), start("b", 1, 2)}, 1},
		{"unload before a request", unloads(run(12, 13), nil), actions{unload}, 0},
		{"unload after a request", unloads(run(8, 9), nil), actions{unload}, 0},
		{"unload while an answer is handed on", unloads(handed(9), nil), actions{unload}, 0},
		{"unload while an answer is generated", unloads(handed(12), nil), actions{unload}, 1},
		{"unload of a model in use", unloads(run(9, 12), nil), actions{unload}, 1},
		{"unload under an endless request", unloads(endless, nil), actions{unload}, 1},
		{"breach an engine noticed", unloads(nil, noticed), nil, 1},
		{"start within grace", leaving, actions{mark(action.Join, 0), mark(action.Leave, 1), start("a", 1, 6)}, 0},
		{"start after the mark was taken back", leaving,
			actions{mark(action.Join, 0), mark(action.Leave, 1), mark(action.Return, 5), start("a", 1, 9)}, 0},
		{"start on a leaving runner", leaving,
			actions{mark(action.Join, 0), mark(action.Leave, 1), mark(action.Leave, 4), start("a", 1, 6.1)}, 1},
		{"start by a process cut off", leaving,
			actions{mark(action.Join, 0), mark(action.Leave, 1), mark(action.Part, 2), start("a", 1, 9)}, 0},
		{"start by a process connected again", leaving,
			actions{mark(action.Part, 0), mark(action.Leave, 1), mark(action.Join, 9), start("a", 1, 15)}, 1},
		{"revisions that grow", check.Reverts, actions{force("a", 1, 1), force("b", 5, 2), force("a", 2, 3)}, 0},
		{"revision that goes back", check.Reverts, actions{force("a", 2, 1), force("a", 1, 2)}, 1},
		{"revision in force in time", missing, actions{mark(action.Join, 0), mark(action.Commit, 1), force("a", 7, 6)}, 0},
		{"revision in force too late", missing, actions{mark(action.Join, 0), mark(action.Commit, 1), force("a", 7, 6.1)}, 1},
		{"revision missing", missing, actions{mark(action.Join, 0), mark(action.Commit, 1), force("a", 6, 1)}, 1},
		{"revision missing on a node that parted", missing, actions{mark(action.Join, 0), mark(action.Commit, 1), mark(action.Part, 3)}, 0},
		{"revision in force on a node that joined later", missing,
			actions{mark(action.Commit, 1), mark(action.Join, 20), force("a", 7, 24)}, 0},
		{"revision missing on a node that joined later", missing, actions{mark(action.Commit, 1), mark(action.Join, 20)}, 1},
		{"run too short to tell", missing, actions{mark(action.Join, 0), mark(action.Commit, 96)}, 0},
		{"refused as not run and not run", refusals(nil), actions{refused}, 0},
		{"refused as not run and run", refusals(run(1, 2)), actions{refused}, 1},
		{"answers before an exit", check.Cuts, actions{answer(1, 2, "full"), answer(2, 5, ""), mark(action.Exit, 5)}, 0},
		{"answer that failed after the exit of another node", check.Cuts,
			actions{answer(1, 5, "cut"), {Kind: action.Exit, Process: "b", At: at(5)}}, 0},
		{"caller that found the node gone", check.Cuts,
			actions{{Kind: action.Answer, Process: "a", At: at(4), End: at(5), Fault: "refused", NotRun: true}, mark(action.Exit, 5)}, 0},
		{"answer cut by an exit", check.Cuts, actions{answer(1, 5.01, "cut"), mark(action.Exit, 5)}, 1},
		{"start cut by an exit", check.Cuts,
			actions{{Kind: action.Start, Process: "a", At: at(4), End: at(5), Fault: "cut"}, mark(action.Exit, 5)}, 1},
	}
	for _, test := range tests {
		if got := test.check(test.run); len(got) != test.want {
			t.Errorf("%s: got breaches %v, want %d", test.name, got, test.want)
		}
	}
}
