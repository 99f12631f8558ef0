//go:build !race

package site_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/adapt"
	"damaskreach/internal/entry"
	"damaskreach/internal/event"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/tenant"
)

// run starts a site of three nodes and two engines, has it settle, and ends it after use.
func run(t *testing.T, prepare func(s *site.Site), more []rows.Row, use func(ctx context.Context, s *site.Site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, 2)
		s.Plains = append(s.Plains, plain.NewService())
		prepare(s)
		if err := s.Start(ctx, 30); err != nil {
			t.Fatal(err)
		}
		if len(more) > 0 {
			if _, err := s.DB.Table().Write(ctx, more...); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 3 {
			s.StartNode(ctx, i)
		}
		time.Sleep(settle)
		use(ctx, s)
		time.Sleep(time.Minute) // lets claims end
		cancel()
		for i := range 3 {
			s.Wait(i)
		}
		time.Sleep(time.Minute) // lets connections and timers end
	})
}

func nothing(*site.Site) {}

// asked returns the events that node i answers with.
func asked(ctx context.Context, t *testing.T, s *site.Site, i int, question url.Values) []event.Event {
	t.Helper()
	events, _, err := s.Explain(ctx, i, question)
	if err != nil {
		t.Errorf("explain %v at node %d: %v", question, i, err)
	}
	return events
}

// A node dies without warning, and with it its journal. An operator then asks why an adapter was unloaded and who owned
// which runner before. The other nodes must be able to tell, from few writes to the table service.
func TestUnloadsAndOwnersOutlastTheirNode(t *testing.T) {
	run(t, nothing, nil, func(ctx context.Context, s *site.Site) {
		for n := range 60 {
			s.Complete(ctx, 0, fmt.Sprintf("adapter-%d", n%30), "prompt", 2, nil)
		}
		time.Sleep(12 * time.Second) // a window of the ledger
		before := map[string]int{}
		for _, kind := range []string{"unload", "taken"} {
			before[kind] = len(asked(ctx, t, s, 1, url.Values{"kind": {kind}}))
			if before[kind] == 0 {
				t.Fatalf("no decision of kind %s before the nodes died", kind)
			}
		}
		s.KillNode(0)
		s.KillNode(1)
		time.Sleep(time.Minute)
		for kind, count := range before {
			if got := asked(ctx, t, s, 2, url.Values{"kind": {kind}}); len(got) < count {
				t.Errorf("%d decisions of kind %s are known after two nodes died, want at least %d", len(got), kind, count)
			}
		}
		if _, writes, _ := s.DB.Count("why"); writes == 0 || writes > 20 {
			t.Errorf("%d rows of decisions were written in some 80 s, want 1 to 20", writes)
		}
	})
}

// Two of three nodes are drained right after they refused requests and unloaded adapters, one of them the keeper of decisions.
// An operator asks the third afterwards; each refusal and unload of the other two must still be explained.
func TestDrainedNodesLeaveTheirDecisions(t *testing.T) {
	quick := func(s *site.Site) { s.Conf.EntriesLife, s.Conf.Drain = time.Second, 2*time.Second }
	run(t, quick, nil, func(ctx context.Context, s *site.Site) {
		for n := range 60 {
			s.Complete(ctx, n%3, fmt.Sprintf("adapter-%d", n%30), "prompt", 2, nil)
		}
		for i := range 2 {
			s.Complete(ctx, i, "nobody", "prompt", 2, map[string]string{entry.HeaderRequest: fmt.Sprint("refused-", i)})
		}
		unloads := 0
		for _, e := range s.Engines {
			unloads += len(e.Unloads())
		}
		for i := range 2 {
			s.Node(i).Drain()
		}
		for i := range 2 {
			s.Wait(i)
		}
		for i := range 2 {
			if got := asked(ctx, t, s, 2, url.Values{"request": {fmt.Sprint("refused-", i)}}); len(got) != 1 {
				t.Errorf("the refusal of drained node %d: got %v, want one decision", i, got)
			}
		}
		if got := len(asked(ctx, t, s, 2, url.Values{"kind": {"unload"}})); unloads == 0 || got < unloads {
			t.Errorf("%d unloads are known, want %d, more than none", got, unloads)
		}
	})
}

// The table service is down while adapters are unloaded and does not come back for minutes. Decisions must reach it later.
func TestDecisionsAreKeptOverAnOutageOfTheTable(t *testing.T) {
	run(t, nothing, nil, func(ctx context.Context, s *site.Site) {
		s.DB.SetDown(true)
		for n := range 60 {
			s.Complete(ctx, 0, fmt.Sprintf("adapter-%d", n%30), "prompt", 2, nil)
		}
		unloads := len(asked(ctx, t, s, 0, url.Values{"kind": {"unload"}}))
		time.Sleep(3 * time.Minute)
		s.DB.SetDown(false)
		time.Sleep(time.Minute)
		s.KillNode(0)
		s.KillNode(1)
		time.Sleep(time.Second)
		if got := len(asked(ctx, t, s, 2, url.Values{"kind": {"unload"}})); unloads == 0 || got < unloads {
			t.Errorf("%d unloads are known after the outage, want %d, more than none", got, unloads)
		}
	})
}

// A node that does not answer may have decided what the operator asks about. The answer must say that it is missing.
func TestExplainNamesWhoIsSilent(t *testing.T) {
	run(t, nothing, nil, func(ctx context.Context, s *site.Site) {
		s.Net.Cut(site.Host(0), site.Host(2))
		_, silent, err := s.Explain(ctx, 0, url.Values{"since": {"1h"}})
		if want := site.Host(2) + ":7000"; err != nil || len(silent) != 1 || silent[0] != want {
			t.Errorf("silent = %q, error %v, want %q", silent, err, want)
		}
		s.Net.Heal(site.Host(0), site.Host(2))
	})
}

const (
	rival    = "rival"
	rivalKey = "rival-key"
)

func rivals() []rows.Row {
	return []rows.Row{
		site.Row("tenant", rival, tenant.Tenant{Name: rival, Weight: 1, Keys: []string{hash(rivalKey)}}),
		site.Row("adapter", "secret-7", adapt.Adapter{Name: "secret-7", Tenant: rival, Group: site.Writers, Versions: map[string]int{"v1": 1}}),
	}
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// A tenant guesses the name of another's adapter, and both happen to use one idempotency key. The one must not learn that
// the adapter exists, use it, or get the other's answer; the refusal must read as for a name that nobody has.
func TestTenantsAreKeptApart(t *testing.T) {
	run(t, nothing, rivals(), func(ctx context.Context, s *site.Site) {
		as := func(key string) map[string]string {
			return map[string]string{"Authorization": "Bearer " + key, entry.HeaderKey: "shared", entry.HeaderRequest: "of " + key}
		}
		status, _, foreign, _ := s.Complete(ctx, 0, "secret-7", "prompt", 2, nil)
		_, _, absent, _ := s.Complete(ctx, 0, "nobody-7", "prompt", 2, nil)
		if got, want := string(foreign), strings.ReplaceAll(string(absent), "nobody-7", "secret-7"); status != http.StatusNotFound || got != want {
			t.Errorf("another tenant's adapter: %d %s, want 404 %s", status, got, want)
		}
		if status, _, body, _ := s.Complete(ctx, 0, "secret-7@v1", "prompt", 2, nil); status != http.StatusNotFound {
			t.Errorf("another tenant's version: %d %s, want 404", status, body)
		}
		if status, _, body, _ := s.Complete(ctx, 1, "secret-7", "prompt", 2, as(rivalKey)); status != http.StatusOK {
			t.Errorf("the tenant's own adapter: %d %s, want 200", status, body)
		}
		if list := models(ctx, t, s); strings.Contains(list, "secret-7") || !strings.Contains(list, "adapter-3@v1") {
			t.Errorf("the list of models is %s, want own ones only", list)
		}
		_, _, first, _ := s.Book(ctx, 0, "/slots", "chapel at ten", as(rivalKey))
		status, header, second, _ := s.Book(ctx, 1, "/slots", "slab at ten", as(site.APIKey))
		if status != http.StatusOK || header.Get(entry.HeaderReplayed) != "" || bytes.Equal(first, second) {
			t.Errorf("with another tenant's idempotency key: %d %s, replayed %q; want an answer of its own", status, second, header.Get(entry.HeaderReplayed))
		}
		status, _, body, _ := s.Complete(ctx, 0, "adapter-1", "prompt", 2, map[string]string{"Authorization": "Bearer " + hash(site.APIKey)})
		if status != http.StatusForbidden {
			t.Errorf("the hash of a key in place of the key: %d %s, want 403", status, body)
		}
	})
}

func models(ctx context.Context, t *testing.T, s *site.Site) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+site.Host(0)+":8000/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	res, err := s.Caller().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var b bytes.Buffer
	b.ReadFrom(res.Body)
	return b.String()
}

// Logs and explanations are read by more people than may hold keys. Whatever passes through the nodes, wrong keys and
// failing loads included, no key may show up in either, nor in metrics.
func TestSecretsAreNeverLogged(t *testing.T) {
	const operatorKey, callersKey, wrongKey = "operator-key-5", "idempotency-5", "wrong-key-5"
	var logged bytes.Buffer
	prepare := func(s *site.Site) {
		s.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(&logged)), zap.DebugLevel))
		s.Conf.Operators = []string{hash(operatorKey)}
	}
	run(t, prepare, nil, func(ctx context.Context, s *site.Site) {
		s.Log.Debug("settings", zap.Any("conf", s.Node(0).Conf), zap.Reflect("again", s.Node(0).Conf))
		s.Engines[0].Crash()
		for n := range 10 {
			s.Complete(ctx, 0, fmt.Sprintf("adapter-%d", n), "prompt", 2, nil)
			s.Book(ctx, 1, "/slots", "slab", map[string]string{entry.HeaderKey: callersKey})
			s.Complete(ctx, 0, "adapter-1", "prompt", 2, map[string]string{"Authorization": "Bearer " + wrongKey})
		}
		var seen bytes.Buffer
		for _, path := range []string{"explain?since=1h", "metrics", "status", ""} {
			for _, key := range []string{operatorKey, wrongKey} {
				seen.WriteString(operatorGet(ctx, t, s, path, key))
			}
		}
		if !strings.Contains(seen.String(), "forbidden") || !strings.Contains(logged.String(), "took a runner over") {
			t.Errorf("the refusals for wrong keys are not explained, or nothing was logged")
		}
		for _, secret := range []string{site.APIKey, operatorKey, callersKey, wrongKey, hash(operatorKey), hash(site.APIKey), s.Node(0).Conf.Secrets[0]} {
			if strings.Contains(logged.String(), secret) {
				t.Errorf("%q is in the logs", secret)
			}
			if strings.Contains(seen.String(), secret) {
				t.Errorf("%q is in what operators see", secret)
			}
		}
	})
}

func operatorGet(ctx context.Context, t *testing.T, s *site.Site, path, key string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+site.Host(0)+":9000/"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := s.Caller().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var b bytes.Buffer
	b.ReadFrom(res.Body)
	return b.String()
}

// The nodes' shared key and an operator's key are replaced while requests come in, by the three steps of docs/ACCESS.md.
// Connections are broken after each step, so that every pair of nodes has to prove itself with the keys of that step.
// Callers must notice nothing, and at the end the old keys must open nothing.
func TestKeysAreRotatedWithoutRestart(t *testing.T) {
	const oldKey, newKey = "operator-old", "operator-new"
	const oldSecret, newSecret = "a shared key of the site's nodes", "another key of the site's nodes"
	prepare := func(s *site.Site) { s.Conf.Operators = []string{hash(oldKey)} }
	run(t, prepare, nil, func(ctx context.Context, s *site.Site) {
		check := func(step string) {
			for i := range 3 {
				for k := range i {
					s.Net.Break(site.Host(i), site.Host(k))
				}
			}
			time.Sleep(5 * time.Second)
			for i := range 6 {
				if status, _, body, err := s.Complete(ctx, i%3, fmt.Sprintf("adapter-%d", i), "prompt", 2, nil); status != http.StatusOK || err != nil {
					t.Errorf("%s: status %d, error %v, %s; want 200", step, status, err, body)
				}
			}
			if got := operatorGet(ctx, t, s, "explain?since=1h", newKey); !strings.Contains(got, `"silent":[]`) {
				t.Errorf("%s: explain = %s, want no node silent", step, got[max(0, len(got)-200):])
			}
		}
		rekey := func(i int, operators, secrets []string) {
			c := s.Node(i).Conf
			c.Operators, c.Secrets = operators, secrets
			s.Node(i).Rekey(ctx, c)
		}
		for _, step := range [][]string{{oldSecret, newSecret}, {newSecret, oldSecret}, {newSecret}} {
			for i := range 3 { // node 0 first, which check asks
				rekey(i, []string{hash(newKey)}, step)
				check(fmt.Sprintf("node %d has %q", i, step))
			}
		}
		if got := operatorGet(ctx, t, s, "status", newKey); !strings.Contains(got, "node-0") {
			t.Errorf("with the new operator's key: %s", got)
		}
		if got := operatorGet(ctx, t, s, "status", oldKey); strings.Contains(got, "node-0") {
			t.Errorf("the old operator's key still opens the port: %s", got)
		}
		rekey(2, nil, []string{oldSecret})
		s.Net.Break(site.Host(0), site.Host(2))
		s.Net.Break(site.Host(1), site.Host(2))
		time.Sleep(5 * time.Second)
		want := `"silent":["` + site.Host(2) + `:7000"]`
		if got := operatorGet(ctx, t, s, "explain?since=1h", newKey); !strings.Contains(got, want) {
			t.Errorf("a node with the old shared key only: explain = %s, want %s", got[max(0, len(got)-200):], want)
		}
	})
}
