package proxy_test

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

// requireKeys has the bench require keys of callers; team red holds one.
func (b *bench) requireKeys(red team.Team) {
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
	b.TeamHeaders = func(h http.Header, team string) http.Header {
		next := h.Clone()
		next.Del(headKey)
		next.Set(headTeam, team)
		return next
	}
}

func keyHeader(key string) http.Header { return http.Header{headKey: {key}, "M": {"m"}} }

// A request has an unknown key or none. It is refused as not run, and no upstream gets it.
func TestUnknownKeyIsRefused(t *testing.T) {
	for _, key := range []string{"", "stolen"} {
		b := newBench(t, streamRoute())
		b.requireKeys(team.Team{})
		rec, _ := b.call(keyHeader(key))
		if got, want := rec.Code, http.StatusUnauthorized; got != want || rec.Header().Get("WWW-Authenticate") == "" {
			t.Errorf("key %q: status = %d, headers %v, want %d and a WWW-Authenticate", key, got, rec.Header(), want)
		}
		if !strings.Contains(rec.Body.String(), `"not-run"`) || len(b.sent) > 0 {
			t.Errorf("key %q: %s after %d sends, want a refusal as not run after none", key, rec.Body, len(b.sent))
		}
	}
}

// A host has had no reading of the store for a while, and a caller uses a key that was just added. Rejected as unknown, it
// would give up, though another host serves it.
func TestHostWithOldConfigurationDoesNotDenyAKey(t *testing.T) {
	b := newBench(t, streamRoute())
	b.requireKeys(team.Team{})
	b.ViewAge = func() time.Duration { return 5 * time.Second }
	rec, _ := b.call(keyHeader("new"))
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" || len(b.sent) > 0 {
		t.Errorf("status = %d, Retry-After %q after %d sends, want 503, a time and none", rec.Code, rec.Header().Get("Retry-After"), len(b.sent))
	}
}

// A team's requests are more urgent than their route says. By the route's priority they would wait behind others.
func TestTeamRankOverridesRoutePriority(t *testing.T) {
	rt := streamRoute()
	rt.Priority = 3
	b := newBench(t, rt)
	b.requireKeys(team.Team{Ranked: true, Rank: 0})
	b.setAnswers(answers(200, nil, "", nil))
	b.call(keyHeader(secret))
	if len(b.loads) != 1 || b.loads[0].Priority != 0 {
		t.Errorf("turns asked for: %+v, want one of rank 0", b.loads)
	}
	if got := b.sent[0].d.Header; got.Get(headTeam) != "red" || got.Get(headKey) != "" {
		t.Errorf("headers at the upstream: %v, want the team and no key", got)
	}
}

// A public route accepts callers without a key or with a revoked one, but must not count them as a team.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	for key, want := range map[string]string{"": "", "stolen": "", secret: "red"} {
		rt := streamRoute()
		rt.Public = true
		b := newBench(t, rt)
		b.requireKeys(team.Team{})
		b.setAnswers(answers(200, nil, "", nil))
		rec, _ := b.call(keyHeader(key))
		if rec.Code != http.StatusOK || b.sent[0].d.Header.Get(headTeam) != want || b.sent[0].d.Header.Get(headKey) != "" {
			t.Errorf("key %q: status %d, headers %v, want 200 for team %q", key, rec.Code, b.sent[0].d.Header, want)
		}
	}
}

// Keys in logs, metrics or answers would reach whoever reads those. However a request ends, its key must not appear there.
func TestKeyIsInNoLineMetricOrAnswer(t *testing.T) {
	for _, key := range []string{secret, "stolen-" + secret} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.requireKeys(team.Team{})
		var out bytes.Buffer
		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.DebugLevel))
		b.Log, b.RequestLog = log, log
		b.setAnswers(failsWith(verd.Mark(http.ErrHandlerTimeout, verd.MayHaveRun)))
		rec, _ := b.call(keyHeader(key))
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

// charges is a Charge that records what was charged and refunded.
type charges struct {
	refusal           *refuse.Refusal
	charged, refunded float64
}

func (c *charges) charge(_ context.Context, _ team.Team, _ int64, units float64) (func(), *refuse.Refusal) {
	if c.refusal != nil {
		return nil, c.refusal
	}
	c.charged += units
	return func() { c.refunded += units }, nil
}

// A team exceeds its limit many times over. The excess is refused before it takes a turn or a load from others.
func TestRequestOverTheLimitTakesNothing(t *testing.T) {
	b := newBench(t, streamRoute())
	b.requireKeys(team.Team{Rate: 1, Burst: 1})
	c := &charges{refusal: refuse.NewRefusal(verd.NotRun, refuse.Limited, "used up").WithRetry(1500 * time.Millisecond)}
	b.Charge = c.charge
	rec, _ := b.call(keyHeader(secret))
	if got, want := rec.Code, http.StatusTooManyRequests; got != want || rec.Header().Get("Retry-After") != "1.50" {
		t.Errorf("status = %d, Retry-After %q, want %d and 1.50", got, rec.Header().Get("Retry-After"), want)
	}
	if len(b.loads)+len(b.sent) > 0 {
		t.Errorf("%d turns and %d sends, want none", len(b.loads), len(b.sent))
	}
}

// Every upstream rejects a request that was charged, and its caller retries. It has not run and must not be charged twice.
func TestOnlyRequestsThatMayHaveRunAreCharged(t *testing.T) {
	for name, c := range map[string]struct {
		answers []int
		back    float64
	}{
		"rejected everywhere": {[]int{503, 503, 503}, 1000}, "served": {[]int{200}, 0}, "served elsewhere": {[]int{503, 200}, 0},
	} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.requireKeys(team.Team{Rate: 1, Burst: 1, Tokens: true})
		count := &charges{}
		b.Charge = count.charge
		for _, status := range c.answers {
			h := http.Header{}
			if status == http.StatusServiceUnavailable {
				h.Set(headNotRun, "1")
			}
			b.answers = append(b.answers, answers(status, h, "", nil))
		}
		b.call(http.Header{headKey: {secret}})
		if count.charged != 1000 || count.refunded != c.back {
			t.Errorf("%s: %v units charged and %v given back, want 1000 and %v", name, count.charged, count.refunded, c.back)
		}
	}
}
