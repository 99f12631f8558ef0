// Package procs_test runs the programs as separate processes on loopback addresses.
package procs_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"damaskreach/internal/digest"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/raced"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

const (
	nodes    = 3
	patience = time.Minute // for a condition; only a hanging test waits that long
	look     = 50 * time.Millisecond
	prompt   = "pour schedule for slab four"
	tokens   = 8
)

// fleet is a running site: one process with the stand-ins and one for each node.
type fleet struct {
	t      *testing.T
	dir    string
	net    string // first three bytes of the loopback addresses used
	table  table.Table
	procs  map[string]*exec.Cmd
	tables map[int]string // ways of nodes to the table service other than the straight one
	peers  map[int]string // addresses of nodes that others are told, where they differ from those opened
}

// newFleet starts the stand-ins. Plain services run in the test's process.
func newFleet(t *testing.T, plains ...*plain.Service) *fleet {
	t.Helper()
	dir := t.TempDir()
	args := append([]string{"build"}, raced.Flags()...)
	args = append(args, "-o", dir, "damaskreach/cmd/damaskreach", "damaskreach/cmd/damaskctl", "damaskreach/cmd/damaskstand")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("building the programs: %v\n%s", err, out)
	}
	pid := os.Getpid()
	f := &fleet{t: t, dir: dir, net: fmt.Sprintf("127.%d.%d.", 100+pid%100, pid/100%250), procs: map[string]*exec.Cmd{}}
	f.start("stand", "damaskstand", "--table", f.net+"100:7000", "--hosts", f.net+"100:7001", "--admin", f.net+"100:7002",
		"--engine", "runner-0="+f.net+"110:80,slots=4,fences=true,resumes=true",
		"--engine", "runner-1="+f.net+"111:80,slots=4,fences=true,resumes=true",
		"--engine", "runner-2="+f.net+"112:80,slots=4,fences=true,resumes=true")
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	f.table = table.NewTable([]string{f.net + "100:7000"}, dial)
	f.await("the table service answers", func() bool {
		_, _, err := f.table.List(context.Background(), table.PrefixConf)
		return err == nil
	})
	for i, p := range plains {
		go func() {
			_ = p.Run(t.Context(), func() (net.Listener, error) { return net.Listen("tcp", fmt.Sprintf("%s%d:80", f.net, 120+i)) })
		}()
	}
	f.writeTable(plains)
	return f
}

func (f *fleet) writeTable(plains []*plain.Service) {
	s := site.NewSite(1, nodes)
	s.Plains = plains
	all := s.Rows(20)
	for i, row := range all {
		text := string(row.Value)
		for e := range nodes {
			text = strings.ReplaceAll(text, site.EngineHost(e)+":80", fmt.Sprintf("%s%d:80", f.net, 110+e))
			text = strings.ReplaceAll(text, site.PlainHost(e)+":80", fmt.Sprintf("%s%d:80", f.net, 120+e))
		}
		all[i] = rows.Row{Key: row.Key, Value: []byte(text)}
	}
	if _, err := f.table.Write(context.Background(), all...); err != nil {
		f.t.Fatalf("writing the table: %v", err)
	}
}

// start starts a program. Its log is written to the test's folder and shown if the test fails.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	cmd := command(filepath.Join(f.dir, program), args...)
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatalf("starting %s: %v", name, err)
	}
	f.procs[name] = cmd
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
		text, _ := os.ReadFile(log.Name())
		if race := raced.Report(text); race != nil {
			f.t.Errorf("%s: got a data race, want none:\n%s", name, race)
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
}

// command returns a command with its own process group; TestFreezeOutlastsTheShell shows why.
func command(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

func tail(text []byte) []byte {
	const most = 4000
	return text[max(0, len(text)-most):]
}

func (f *fleet) startNode(i int) {
	f.t.Helper()
	name := fmt.Sprintf("node-%d", i)
	host := f.host(i)
	settings := fmt.Sprintf(`node = %q
site = "site"
centre = "centre-1"
peer = %q
listen = "%s:7000"
http = "%s:8000"
admin = "%s:9000"
tables = [%q]
hosts = ["%s100:7001"]
secrets = ["a shared key of the site's nodes"]
lease = "3s"
renew = "1s"
poll = "300ms"
entries-life = "1s"
drain = "1500ms"
`, name, cmp.Or(f.peers[i], host+":7000"), host, host, host, cmp.Or(f.tables[i], f.net+"100:7000"), f.net)
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.start(name, "damaskreach", "--config", path)
}

func (f *fleet) host(i int) string {
	return fmt.Sprintf("%s%d", f.net, i+1)
}

func (f *fleet) signal(i int, s os.Signal) {
	f.t.Helper()
	if err := f.procs[fmt.Sprintf("node-%d", i)].Process.Signal(s); err != nil {
		f.t.Fatalf("signalling node %d: %v", i, err)
	}
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	if !until(done) {
		f.t.Fatalf("got no state in which %s within %s, want one", what, patience)
	}
}

// until polls a condition and reports whether it became true in time.
func until(done func() bool) bool {
	for limit := time.Now().Add(patience); !done(); {
		if time.Now().After(limit) {
			return false
		}
		time.Sleep(look) // a real wait for another process; synctest cannot pause those
	}
	return true
}

// get sends a GET request and decodes its JSON answer.
func get(url string, into any) error {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(into)
}

type status struct {
	Runners []digest.Digest `json:"runners"`
}

// owned returns the runners that node i owns, according to its status.
func (f *fleet) owned(i int) []string {
	var s status
	if get("http://"+f.host(i)+":9000/status", &s) != nil {
		return nil
	}
	var names []string
	for _, d := range s.Runners {
		if !d.Closed {
			names = append(names, d.Runner)
		}
	}
	return names
}

// shared reports whether each node owns one runner, and no two nodes the same.
func (f *fleet) shared() bool {
	found := map[string]bool{}
	for i := range nodes {
		names := f.owned(i)
		if len(names) != 1 {
			return false
		}
		found[names[0]] = true
	}
	return len(found) == nodes
}

// ask sends a completion for an adapter's version "v1" to node i and returns what is wrong with the answer, or an empty string.
func (f *fleet) ask(i, adapter int) string {
	model := site.AdapterName(adapter) + "@v1"
	return f.askModel(i, model, model)
}

// askModel sends one completion to node i and returns what is wrong with the answer, or an empty string. The model's name may lack a version.
func (f *fleet) askModel(i int, model, served string) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	status, _, answer, err := f.post(i, "/v1/completions", body, nil)
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("status %d, error %v, body %s", status, err, answer)
	}
	return compare(string(answer), engsim.Answer(served, prompt, tokens))
}

// post sends a request to node i. The answer's body is complete unless err is set.
func (f *fleet) post(i int, path, body string, headers map[string]string) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.host(i)+":8000"+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Close, req.GetBody = true, nil // or net/http might send a booking twice itself
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: patience}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, answer, err
}

func compare(answer string, want []string) string {
	for _, token := range want {
		text, _ := json.Marshal(token)
		if !strings.Contains(answer, string(text)) {
			return fmt.Sprintf("answer %s lacks %s", answer, text)
		}
	}
	if !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		return "answer without its end mark: " + answer
	}
	return ""
}

func (f *fleet) serves(i int) {
	f.t.Helper()
	for adapter := range 6 {
		last := ""
		f.await(fmt.Sprintf("node %d answers for adapter %d", i, adapter), func() bool {
			now := f.ask(i, adapter)
			if now != "" && now != last {
				f.t.Logf("node %d, adapter %d: %s", i, adapter, now)
			}
			last = now
			return now == ""
		})
	}
}
