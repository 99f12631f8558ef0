package direct_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/apikey"
	"damaskreach/internal/demand"
	"damaskreach/internal/kinds"
	"damaskreach/internal/route"
	"damaskreach/internal/team"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	headKey  = "Fake-Key"
	headTeam = "Fake-Team"
	secret   = "k7b2ex5wa5xwyhks8nbk"
)

// guard has the bench ask callers for keys; red holds one.
func (b *bench) guard(red team.Team) {
	red.Name = "red"
	b.view.Rules.Guarded = true
	b.view.Rules.Teams = map[string]team.Team{"red": red}
	b.view.Rules.Keys = map[apikey.Key]string{apikey.NewKey(secret): "red"}
	decode := b.Decode
	b.Decode = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		d.Key = apikey.NewKey(r.Header.Get(headKey))
		d.Header = r.Header.Clone()
		d.Prompt = 1000
		return d, err
	}
	b.OnBehalf = func(h http.Header, team string) http.Header {
		next := h.Clone()
		next.Del(headKey)
		next.Set(headTeam, team)
		return next
	}
}

func withKey(key string) http.Header { return http.Header{headKey: {key}, "M": {"m"}} }

// A request comes with a key that no team holds, or with none. It is refused as not run, and no upstream sees it.
func TestUnknownKeyIsRefused(t *testing.T) {
	for _, key := range []string{"", "stolen"} {
		b := newBench(t, streamRoute())
		b.guard(team.Team{})
		rec, _ := b.call(withKey(key))
		if got, want := rec.Code, http.StatusUnauthorized; got != want || rec.Header().Get("WWW-Authenticate") == "" {
			t.Errorf("key %q: status = %d, headers %v, want %d and how to prove oneself", key, got, rec.Header(), want)
		}
		if !strings.Contains(rec.Body.String(), `"not-run"`) || len(b.sent) > 0 {
			t.Errorf("key %q: %s after %d sends, want a refusal as not run after none", key, rec.Body, len(b.sent))
		}
	}
}

// A host has not heard of any reading of the store for a while, and a caller comes with a key that operators have just added. Told that there is
// no such key it would give up, though another host serves it.
func TestHostThatIsBehindDoesNotDenyAKey(t *testing.T) {
	b := newBench(t, streamRoute())
	b.guard(team.Team{})
	b.Age = func() time.Duration { return 5 * time.Second }
	rec, _ := b.call(withKey("new"))
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" || len(b.sent) > 0 {
		t.Errorf("status = %d, Retry-After %q after %d sends, want 503, a time and none", rec.Code, rec.Header().Get("Retry-After"), len(b.sent))
	}
}

// A team's requests are more urgent than their route says. Ranked by the route they would wait behind others.
func TestTeamsRankGoesBeforeTheRoutes(t *testing.T) {
	rt := streamRoute()
	rt.Priority = 3
	b := newBench(t, rt)
	b.guard(team.Team{Ranked: true, Rank: 0})
	b.then(answers(200, nil, "", nil))
	b.call(withKey(secret))
	if len(b.loads) != 1 || b.loads[0].Priority != 0 {
		t.Errorf("turns asked for: %+v, want one of rank 0", b.loads)
	}
	if got := b.sent[0].d.Header; got.Get(headTeam) != "red" || got.Get(headKey) != "" {
		t.Errorf("headers at the upstream: %v, want the team and no key", got)
	}
}

// A public route takes callers without a key, and those whose key nobody holds any more; neither may pass for a team.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	for key, want := range map[string]string{"": "", "stolen": "", secret: "red"} {
		rt := streamRoute()
		rt.Public = true
		b := newBench(t, rt)
		b.guard(team.Team{})
		b.then(answers(200, nil, "", nil))
		rec, _ := b.call(withKey(key))
		if rec.Code != http.StatusOK || b.sent[0].d.Header.Get(headTeam) != want || b.sent[0].d.Header.Get(headKey) != "" {
			t.Errorf("key %q: status %d, headers %v, want 200 for team %q", key, rec.Code, b.sent[0].d.Header, want)
		}
	}
}

// Keys of callers reach whoever reads logs, metrics or answers. Whatever becomes of a request, its key must not be there.
func TestKeyIsInNoLineMetricOrAnswer(t *testing.T) {
	for _, key := range []string{secret, "stolen-" + secret} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.guard(team.Team{})
		var out bytes.Buffer
		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.DebugLevel))
		b.Log, b.Requests = log, log
		b.then(fails(verd.Mark(http.ErrHandlerTimeout, verd.MayHaveRun)))
		rec, _ := b.call(withKey(key))
		if err := b.Stats.Write(&out); err != nil {
			t.Fatalf("metrics: %v", err)
		}
		for name, text := range map[string]string{"lines and metrics": out.String(), "answer": rec.Body.String()} {
			if text == "" || strings.Contains(text, key) {
				t.Errorf("%s show the key: %s", name, text)
			}
		}
	}
}

// charges answers as the hosts that count a team's use, and notes what was charged and given back.
type charges struct {
	refusal       *refuse.Refusal
	charged, back float64
}

func (c *charges) charge(_ context.Context, _ team.Team, _ int64, units float64) (func(), *refuse.Refusal) {
	if c.refusal != nil {
		return nil, c.refusal
	}
	c.charged += units
	return func() { c.back += units }, nil
}

// A team asks for many times its limit. What is over it is refused at once, before it takes a turn, a place or a load from others.
func TestRequestOverTheLimitTakesNothing(t *testing.T) {
	b := newBench(t, streamRoute())
	b.guard(team.Team{Rate: 1, Burst: 1})
	c := &charges{refusal: refuse.NewRefusal(verd.NotRun, refuse.Limited, "used up").WithRetry(1500 * time.Millisecond)}
	b.Charge = c.charge
	rec, _ := b.call(withKey(secret))
	if got, want := rec.Code, http.StatusTooManyRequests; got != want || rec.Header().Get("Retry-After") != "1.50" {
		t.Errorf("status = %d, Retry-After %q, want %d and 1.50", got, rec.Header().Get("Retry-After"), want)
	}
	if len(b.loads)+len(b.sent) > 0 {
		t.Errorf("%d turns and %d sends, want none", len(b.loads), len(b.sent))
	}
}

// A request that was counted is rejected by every upstream, and its caller comes back. It has not run, and must not count twice.
func TestOnlyWhatMayHaveRunCounts(t *testing.T) {
	for name, c := range map[string]struct {
		answers []int
		back    float64
	}{
		"rejected everywhere": {[]int{503, 503, 503}, 1000}, "served": {[]int{200}, 0}, "served elsewhere": {[]int{503, 200}, 0},
	} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.guard(team.Team{Rate: 1, Burst: 1, Tokens: true})
		count := &charges{}
		b.Charge = count.charge
		for _, status := range c.answers {
			h := http.Header{}
			if status == http.StatusServiceUnavailable {
				h.Set(headNot, "1")
			}
			b.answers = append(b.answers, answers(status, h, "", nil))
		}
		b.call(http.Header{headKey: {secret}})
		if count.charged != 1000 || count.back != c.back {
			t.Errorf("%s: %v units charged and %v given back, want 1000 and %v", name, count.charged, count.back, c.back)
		}
	}
}
