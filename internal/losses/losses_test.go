package losses_test

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"damaskreach/internal/losses"
)

// at returns a line of a host at a second of an hour.
func at(second float64, msg, fields string) string {
	return fmt.Sprintf(`{"level":"info","ts":"2026-07-30T11:00:%06.3fZ","msg":%q,"node":"h1"%s}`, second, msg, fields)
}

func ended(second float64, route, code, fields string) string {
	return at(second, "request ended", fmt.Sprintf(`,"route":%q,"code":%q%s`, route, code, fields))
}

// tables returns what lines come to.
func tables(t *testing.T, lines ...string) string {
	t.Helper()
	sums := losses.NewLosses()
	if err := sums.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatalf("Read = %v, want nil", err)
	}
	var out strings.Builder
	if err := sums.Write(&out); err != nil {
		t.Fatalf("Write = %v, want nil", err)
	}
	return out.String()
}

// has checks that the columns of a table's row stand in a text.
func has(t *testing.T, text string, columns ...string) {
	t.Helper()
	for line := range strings.Lines(text) {
		if strings.Join(strings.Fields(line), " ") == strings.Join(columns, " ") {
			return
		}
	}
	t.Errorf("got\n%s\nwant a row %q", text, columns)
}

// contains checks that a text says something.
func contains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("got\n%s\nwant %q in it", text, want)
	}
}

// A tenth of the answers come late, for half a dozen reasons. Each must be counted once and for what made it late.
func TestRequestsAreCountedByWhatMadeThemLate(t *testing.T) {
	const goal = `,"goal":"600ms","most":"250ms"`
	text := tables(t,
		ended(1, "chat", "ok", goal+`,"first":"100ms","pause":"80ms","took":"900ms","sends":1`),
		ended(1, "chat", "ok", goal+`,"first":"100ms","pause":"300ms","took":"900ms","sends":1`),
		ended(1, "chat", "ok", goal+`,"first":"700ms","turn":"650ms","took":"900ms","sends":1,"note":"crowded"`),
		ended(1, "chat", "ok", goal+`,"first":"700ms","turn":"650ms","took":"900ms","sends":1,"note":"loaded","target":"e1","adapter":"m/a"`),
		ended(1, "chat", "ok", goal+`,"first":"700ms","turn":"5ms","took":"900ms","sends":1`),
		ended(1, "chat", "ok", goal+`,"first":"700ms","turn":"5ms","took":"900ms","sends":2`),
		ended(1, "chat", "overloaded", goal+`,"took":"20ms"`),
		ended(1, "chat", "cut", goal+`,"took":"20ms","sends":1`),
		ended(1, "chat", "canceled", goal+`,"took":"20ms"`),
		ended(3.5, "", "no-route", `,"took":"20ms"`),
	)
	has(t, text, "chat", "9", "1", "1", "1", "1", "1", "1", "1", "1", "1", "0")
	has(t, text, "(none)", "1", "0", "0", "0", "0", "0", "0", "0", "0", "0", "1")
	has(t, text, "11:00:00", "9", "1", "1", "1", "1", "1", "1", "1", "1", "1", "0")
	has(t, text, "11:00:02", "1", "0", "0", "0", "0", "0", "0", "0", "0", "0", "1")
	contains(t, text, "refused or cut, by code: cut 1, overloaded 1")
	contains(t, text, "late behind a load, by what the load waited for: unknown 1")
}

// The same adapter is loaded again and again. Only the order of loads and unloads over all hosts tells which of them brought
// nothing that was not there already.
func TestLoadsAreCountedByWhatTheyWereFor(t *testing.T) {
	load := func(second float64, target string, fields string) string {
		return at(second, "adapter loaded", fmt.Sprintf(`,"target":%q,"adapter":"m/a"%s`, target, fields))
	}
	unload := func(second float64, target string) string {
		return at(second, "adapter unloaded", fmt.Sprintf(`,"target":%q,"adapter":"m/a"`, target))
	}
	known := func(second float64, target string, born int) string {
		return at(second, "engine known", fmt.Sprintf(`,"target":%q,"born":%d`, target, born))
	}
	lines := []string{
		known(0, "e1", 1),
		load(1, "e1", `,"waited":"400ms","behind":"flow"`), // first time
		load(2, "e2", ``),             // copy
		load(3, "e2", `,"version":2`), // new version
		unload(4, "e1"), unload(4, "e2"),
		load(5, "e1", `,"warm":true`), // back, quick
		unload(6, "e1"),
		load(7, "e2", ``), // back, slow
		unload(8, "e2"),
		load(9, "e3", ``), // strayed
		unload(10, "e3"),
		known(11, "e1", 2),
		load(12, "e1", ``), // strayed: the engine started anew and had nothing
		ended(1.2, "chat", "ok", `,"goal":"300ms","first":"700ms","turn":"650ms","took":"900ms","sends":1,"note":"loaded","target":"e1","adapter":"m/a"`),
	}
	check := func(text string) {
		t.Helper()
		has(t, text, "first", "time", "1", "400ms", "400ms", "flow", "1")
		has(t, text, "new", "version", "1", "0s", "0s", "none")
		has(t, text, "copy", "1", "0s", "0s", "none")
		has(t, text, "back,", "quick", "1", "0s", "0s", "none")
		has(t, text, "back,", "slow", "1", "0s", "0s", "none")
		has(t, text, "strayed", "2", "0s", "0s", "none")
		contains(t, text, "late behind a load, by what the load waited for: flow 1")
	}
	check(tables(t, lines...))
	// Files of hosts come one after the other, so that lines are out of order.
	turned := make([]string, len(lines))
	for i, line := range lines {
		turned[(i*4)%len(lines)] = line
	}
	check(tables(t, turned...))
}

// A host died in the middle of a line, a collector put its own words before others, and another program wrote into the same
// file. What can be read counts; the rest is counted as passed over.
func TestLinesThatCannotBeReadArePassedOver(t *testing.T) {
	good := ended(1, "chat", "ok", `,"goal":"600ms","first":"100ms","took":"900ms"`)
	text := tables(t,
		"  31.2040 edge-1 "+good,
		good[:60],
		"panic: out of memory",
		`{"msg":"request ended","ts":"yesterday"}`,
		`{"unit":"cron","message":"done"}`,
		`[1,2,3]`,
		strings.Repeat("x", 200_000)+good,
		good,
	)
	contains(t, text, "lines 2, passed over 6")
	has(t, text, "chat", "2", "2", "0", "0", "0", "0", "0", "0", "0", "0", "0")
}

// An operator names the wrong file. Tables full of zeros would look as if nothing had been lost.
func TestNothingToReadIsAnError(t *testing.T) {
	for _, input := range []string{"", "\n\n", "not a line\n"} {
		sums := losses.NewLosses()
		if err := sums.Read(strings.NewReader(input)); err != nil {
			t.Errorf("Read(%q) = %v, want nil", input, err)
		}
		if err := sums.Write(io.Discard); !errors.Is(err, losses.ErrEmpty) {
			t.Errorf("Write after %q = %v, want %v", input, err, losses.ErrEmpty)
		}
	}
}

// endless gives the same lines again and again.
type endless struct {
	text string
	left int
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(p, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	e.left -= n
	return n, nil
}

// The lines of a day of a large site do not fit into memory.
func TestMemoryIsBounded(t *testing.T) {
	text := ended(1, "chat", "ok", `,"goal":"600ms","first":"100ms","took":"900ms"`) + "\n" +
		at(2, "adapter unloaded", `,"target":"e1","adapter":"m/a"`) + "\n"
	var before, after runtime.MemStats
	sums := losses.NewLosses()
	runtime.GC()
	runtime.ReadMemStats(&before)
	const input = 50 << 20
	if err := sums.Read(&endless{text: text, left: input}); err != nil {
		t.Fatalf("Read = %v, want nil", err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got, most := int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(input/2); got > most {
		t.Errorf("after %d bytes of lines %d are kept, want at most %d", input, got, most)
	}
	runtime.KeepAlive(sums)
}

// A team says that it was refused below its limit. The table shows what it had, in all and in the busiest moment, and what was over.
func TestTeamsAreToldApart(t *testing.T) {
	l := losses.NewLosses()
	err := l.Read(strings.NewReader(`{"ts":"2026-12-03T11:00:01.000Z","msg":"request ended","code":"ok","team":"red","units":1500,"took":"100ms"}
{"ts":"2026-12-03T11:00:01.500Z","msg":"request ended","code":"ok","team":"red","units":500,"took":"100ms"}
{"ts":"2026-12-03T11:00:09.000Z","msg":"request ended","code":"limited","team":"red","units":4000,"took":"1ms"}
{"ts":"2026-12-03T11:00:09.000Z","msg":"request ended","code":"crashed","team":"red","units":700,"took":"1ms"}
{"ts":"2026-12-03T11:00:09.000Z","msg":"request ended","code":"unauthorized","took":"1ms"}
`))
	if err != nil {
		t.Fatalf("Read() = %v, want nil", err)
	}
	var out strings.Builder
	if err := l.Write(&out); err != nil {
		t.Fatalf("Write() = %v, want nil", err)
	}
	if got, want := strings.Join(strings.Fields(out.String()), " "), "red 4 2 1 1 2700 2000 4000"; !strings.Contains(got, want) {
		t.Errorf("tables = %s, want %q in them", out.String(), want)
	}
}
