package serve_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/host"
	"damaskreach/internal/hosts"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/serve"
	"damaskreach/internal/table"
)

const (
	tableAddr   = "10.0.1.1:7000"
	hostsAddr   = "10.0.1.1:7002"
	adminAddr   = "10.0.1.1:7009"
	engineAddr  = "10.0.2.1:8000"
	plainAddr   = "10.0.3.1:8000"
	weightsAddr = "10.0.1.1:7003"
)

// start runs the command over a network in memory until the returned function ends it,
// which returns the exit code and the logs.
func start(t *testing.T, n *memnet.Net, args ...string) (stop func() (int, string)) {
	ctx, cancel := context.WithCancel(t.Context())
	var logs bytes.Buffer
	code := make(chan int, 1)
	go func() { code <- serve.Run(ctx, args, n.Listen, &logs, &logs) }()
	synctest.Wait()
	return func() (int, string) {
		cancel()
		return <-code, logs.String()
	}
}

func post(t *testing.T, n *memnet.Net, url string, want int) {
	t.Helper()
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial("10.0.0.1")(ctx, addr) }
	client := http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	response, err := client.Post(url, "", nil)
	if err != nil {
		t.Fatalf("POST %s = %v, want nil", url, err)
	}
	response.Body.Close()
	if got := response.StatusCode; got != want {
		t.Errorf("POST %s: status = %d, want %d", url, got, want)
	}
}

func TestServesThePlatformAndItsFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		stop := start(t, n, "--table", tableAddr, "--hosts", hostsAddr, "--host", "10.0.0.9=medeu")
		tab := table.NewTable([]string{tableAddr}, n.Dial("10.0.0.1"))
		if _, err := tab.Write(t.Context(), rows.Row{Key: "a/1"}); err != nil {
			t.Errorf("Write = %v, want nil", err)
		}
		post(t, n, "http://"+tableAddr+"/admin/down?on=true", http.StatusNoContent)
		if _, err := tab.Read(t.Context(), "a/1"); !errors.Is(err, table.ErrDown) {
			t.Errorf("Read = %v, want %v", err, table.ErrDown)
		}
		post(t, n, "http://"+hostsAddr+"/admin/lie?addr=10.0.0.9&state=gone", http.StatusNoContent)
		list, err := hosts.NewHosts([]string{hostsAddr}, n.Dial("10.0.0.1")).List(t.Context())
		if len(list) != 1 || list[0].State != host.Gone || err != nil {
			t.Errorf("List = %v, %v, want one host that is gone, nil", list, err)
		}
		n.Kill("10.0.0.1")
		if code, logs := stop(); code != 0 || !strings.Contains(logs, `"msg":"stopped"`) {
			t.Errorf("exit code = %d with the logs %s, want 0 and stopped", code, logs)
		}
	})
}

// An engine crashes and nothing listens at its address until it has restarted.
func TestCrashedEngineListensAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		stop := start(t, n, "--admin", adminAddr, "--engine", "e1="+engineAddr+",slots=2,batch=4,fences=false")
		dial := n.Dial("10.0.0.1")
		post(t, n, "http://"+adminAddr+"/e1/admin/slow?factor=2", http.StatusNoContent)
		post(t, n, "http://"+adminAddr+"/e1/admin/crash", http.StatusNoContent)
		synctest.Wait()
		if _, err := dial(t.Context(), engineAddr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("Dial of a crashed engine = %v, want %v", err, syscall.ECONNREFUSED)
		}
		time.Sleep(time.Minute)
		post(t, n, "http://"+engineAddr+"/adapters/load", http.StatusNotFound)
		if code, logs := stop(); code != 0 {
			t.Errorf("exit code = %d with the logs %s, want 0", code, logs)
		}
	})
}

// Each fault of the weight store and of a plain service can be set, and the engines load from that store.
func TestWeightsAndPlainServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		stop := start(t, n, "--weights", weightsAddr, "--admin", adminAddr, "--engine", "e1="+engineAddr, "--plain", "p1="+plainAddr)
		for _, fault := range []string{"crash", "before?count=1", "after?count=1", "cut?count=1"} {
			post(t, n, "http://"+adminAddr+"/p1/admin/"+fault, http.StatusNoContent)
		}
		load := func() error {
			return engine.NewEngine(engineAddr, n.Dial("10.0.0.1")).Load(t.Context(), 1, "a@v1")
		}
		post(t, n, "http://"+weightsAddr+"/admin/slow?factor=1.5", http.StatusNoContent)
		post(t, n, "http://"+weightsAddr+"/admin/fail?count=1", http.StatusNoContent)
		if err := load(); err == nil {
			t.Error("Load = nil, want an error")
		}
		post(t, n, "http://"+weightsAddr+"/admin/down?on=true", http.StatusNoContent)
		if err := load(); err == nil {
			t.Error("Load from a store that is down = nil, want an error")
		}
		post(t, n, "http://"+weightsAddr+"/admin/down?on=false", http.StatusNoContent)
		if err := load(); err != nil {
			t.Errorf("Load = %v, want nil", err)
		}
		n.Kill("10.0.0.1")
		if code, logs := stop(); code != 0 {
			t.Errorf("exit code = %d with the logs %s, want 0", code, logs)
		}
	})
}

// An address of the site is taken already. The process ends with an error before it serves anything,
// rather than leave a site without one of its services.
func TestTakenAddressEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		l, err := n.Listen(hostsAddr)
		if err != nil {
			t.Fatalf("Listen = %v, want nil", err)
		}
		defer l.Close()
		code, logs := start(t, n, "--table", tableAddr, "--hosts", hostsAddr)()
		if code != 1 || strings.Contains(logs, `"msg":"ready"`) || !strings.Contains(logs, "address already in use") {
			t.Errorf("exit code = %d with the logs %s, want 1 and the cause", code, logs)
		}
	})
}

func TestUsage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "engines")
	if err := os.WriteFile(file, []byte("# engines\n\ne1=10.0.2.1:8000,slots=x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"--help", 0, "--table"},
		{"", 2, "nothing to serve"},
		{"--table 10.0.0.1:1 extra", 2, `"extra"`},
		{"--host medeu", 2, "IP=CENTRE"},
		{"--plain p1=there", 2, "NAME=IP:PORT"},
		{"--engine e1=10.0.2.1:8000,slots=0", 2, "slots=0"},
		{"--engine e1=10.0.2.1:8000,speed=9", 2, `"speed"`},
		{"--engine e1=10.0.2.1:8000,resumes=false", 2, "resumes=false"},
		{"--engine e1=10.0.2.1:8000 --engine e1=10.0.2.2:8000", 2, `"e1"`},
		{"--engines " + file, 2, file + ":3"},
		{"--engines " + file + "0", 2, "no such file"},
	} {
		var out bytes.Buffer
		code := serve.Run(t.Context(), strings.Fields(test.args), memnet.NewNet(1).Listen, &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%q: exit code %d, output %q, want %d, %q", test.args, code, out.String(), test.code, test.want)
		}
	}
}
