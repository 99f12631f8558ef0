package procs_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damaskreach/internal/judge"
	"damaskreach/internal/seen"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/site"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	streams = 3
	long    = 800             // tokens of a stream, enough for a fault to come before its end
	delay   = 3 * time.Second // of a booking's answer
	kind    = "application/json"
)

// desk sends requests, has a judge check their answers, and runs the booking service.
type desk struct {
	f       *fleet
	judge   *judge.Judge
	service *plain.Service
	ids     atomic.Int64
}

// book sends a booking, which is non-idempotent, to node i; an empty key sends none.
func (d *desk) book(i int, key, slot string) seen.Seen {
	want := string(plain.Answer(http.MethodPost, "/slots", kind, []byte(slot)))
	return d.send(i, "/plain/"+site.Plain+"/slots", slot, "", key, want)
}

// stream requests a long completion from node i.
func (d *desk) stream(i, adapter int) seen.Seen {
	model := site.AdapterName(adapter) + "@v1"
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, long)
	return d.send(i, "/v1/completions", body, model, "", strings.Join(engsim.Answer(model, prompt, long), ""))
}

func (d *desk) send(i int, path, body, model, key, want string) seen.Seen {
	id := fmt.Sprint("request-", d.ids.Add(1))
	headers := map[string]string{head.Request: id, "Content-Type": kind}
	if key != "" {
		headers[head.Key] = key
	}
	d.judge.Sent(id, key, model == "", model, want)
	status, h, answer, err := d.f.post(i, path, body, headers)
	s := seen.NewSeen(status, h, answer, err, 0)
	if model != "" && status == http.StatusOK {
		s = s.WithText(site.Text(answer))
	}
	d.judge.Got(id, s.Status, s.Verdict, s.Whole, s.Text)
	return s
}

// engine returns what engine e has run, from its own records.
func (d *desk) engine(e int) []recrd.Record {
	d.f.t.Helper()
	var all []recrd.Record
	if err := get(fmt.Sprintf("http://%s%d:80/records", d.f.net, 110+e), &all); err != nil {
		d.f.t.Fatalf("reading an engine's records: %v", err)
	}
	return slices.DeleteFunc(all, func(r recrd.Record) bool { return r.Request == "" }) // loads and unloads
}

func (d *desk) engines() []recrd.Record {
	d.f.t.Helper()
	return slices.Concat(d.engine(0), d.engine(1), d.engine(2))
}

// busiest returns the runner that has run the most streams, so that it holds their adapters.
func (d *desk) busiest() string {
	d.f.t.Helper()
	most := slices.MaxFunc([]int{0, 1, 2}, func(a, b int) int { return len(d.engine(a)) - len(d.engine(b)) })
	return site.RunnerName(most)
}

func notRun(s seen.Seen) bool {
	return s.Verdict == verd.NotRun.String()
}

// running counts the executions that have not ended.
func running(records []recrd.Record) int {
	return len(slices.DeleteFunc(records, func(r recrd.Record) bool { return r.End != "" }))
}

// under keeps requests through node entry in progress while a fault is injected, and then repeats the booking with a key at another node until its
// outcome is known. It returns how many streams were answered completely.
func (d *desk) under(name string, entry, other int, fault, end func()) int {
	d.f.t.Helper()
	slot := func(n int) string { return fmt.Sprintf(`{"slot":"%s-%d"}`, name, n) }
	var all sync.WaitGroup
	var whole atomic.Int64
	ask := func(send func() seen.Seen) {
		all.Go(func() {
			if !until(func() bool { return !notRun(send()) }) { // callers repeat what did not run
				d.f.t.Errorf("%s: a request was refused as not run for %s", name, patience)
			}
		})
	}
	for n := range streams {
		ask(func() seen.Seen {
			s := d.stream(entry, n)
			if s.Whole {
				whole.Add(1)
			}
			return s
		})
	}
	d.f.await(name+": all streams run", func() bool { return running(d.engines()) == streams })
	ask(func() seen.Seen { return d.book(entry, name, slot(1)) })
	ask(func() seen.Seen { return d.book(entry, "", slot(2)) })
	d.f.await(name+": both bookings run", func() bool { return running(d.service.Records()) == 2 })
	fault()
	d.book(entry, "", slot(3))
	d.f.await(name+": another node tells the outcome", func() bool {
		s := d.book(other, name, slot(1))
		return s.Whole || s.Replay || s.Code == refuse.Repeat
	})
	end()
	all.Wait()
	d.f.await(name+": a new booking is served", func() bool { return d.book(other, "", slot(4)).Whole })
	return int(whole.Load())
}

// parts returns the node that owns a runner, the node that requests are sent to, and the third one.
func (d *desk) parts(runner string) (owner, entry, other int) {
	d.f.t.Helper()
	d.f.await(runner+" has an owner", func() bool {
		for owner = range nodes {
			if slices.Contains(d.f.owned(owner), runner) {
				return true
			}
		}
		return false
	})
	return owner, (owner + 1) % nodes, (owner + 2) % nodes
}

// freeze suspends the owner of a runner for longer than its lease while requests are in progress.
func (d *desk) freeze(runner string) int {
	d.f.t.Helper()
	owner, entry, other := d.parts(runner)
	whole := d.under("freeze "+runner, entry, other, func() {
		d.f.signal(owner, syscall.SIGSTOP)
		d.book(entry, "", `{"slot":"sent to a frozen owner"}`)
		d.f.await("another node owns "+runner, func() bool { now, _, _ := d.parts(runner); return now != owner })
	}, func() { d.f.signal(owner, syscall.SIGCONT) })
	d.f.await("the woken node owns runners", func() bool { return len(d.f.owned(owner)) > 0 })
	return whole
}

// Bookings, with and without a key, and streams are in progress while the connection between their entry node and the owner is cut, the owner of the
// booking service or of the streams' runner is suspended for longer than its lease, and the entry node is killed. Callers repeat a booking with a key
// through another node. By the records of the booking service, no booking may run twice, and none that was refused as not run may have run. Streams
// must be resumed, or their callers get half an answer.
func TestDeliveryOverProcesses(t *testing.T) {
	d := &desk{judge: judge.NewJudge(), service: plain.NewService()}
	d.service.Slow(delay)
	d.f = newFleet(t, d.service)
	w := newWays(d.f)
	for i := range nodes {
		d.f.startNode(i)
	}
	d.f.await("all nodes own runners", func() bool {
		return len(d.f.owned(0)) > 0 && len(d.f.owned(1)) > 0 && len(d.f.owned(2)) > 0
	})

	owner, entry, other := d.parts(site.PlainName(0))
	got := d.under("cut", entry, other, func() {
		w.cut(entry, owner)
		d.f.await("a booking is refused as not run", func() bool { return notRun(d.book(entry, "", `{"slot":"cut off"}`)) })
	}, w.heal)

	got += d.freeze(site.PlainName(0))
	got += d.freeze(d.busiest())
	if got != 3*streams {
		t.Errorf("got %d whole streams under a cut and with owners frozen, want %d", got, 3*streams)
	}

	_, entry, other = d.parts(site.PlainName(0))
	d.under("kill", entry, other, func() { d.f.signal(entry, syscall.SIGKILL) }, func() {})

	d.f.await("nothing runs any more", func() bool { return running(d.service.Records())+running(d.engines()) == 0 })
	for _, breach := range d.judge.Breaches(slices.Concat(d.service.Records(), d.engines())) {
		t.Error(breach)
	}
	whole, refused := d.judge.Count()
	t.Logf("%d requests were answered whole, others by verdict: %v", whole, refused)
}
