package conf_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"damaskreach/internal/bind"
	"damaskreach/internal/conf"
)

const good = `
site = "kingston"
centre = "hall-marcus"
peer = "10.0.0.7:7000"
http = "10.0.0.7:8000"
admin = "10.0.0.7:9000"
tables = ["10.0.0.1:5000"]
`

const secret = "a secret of the nodes"

func TestLoadReadsSecretsFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "node.toml")
	put(t, path, good+`secrets-file = "keys"`+"\nlease = \"20s\"\n")
	put(t, filepath.Join(dir, "keys"), "# keys\n"+secret+"\n\nanother secret of the nodes\n")
	c, err := conf.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := c.Secrets, []string{secret, "another secret of the nodes"}; !reflect.DeepEqual(got, want) {
		t.Errorf("Secrets = %q, want %q", got, want)
	}
	if got, want := fmt.Sprint(c.Lease, c.Renew, c.Keepers), "20s 5s 4"; got != want {
		t.Errorf("lease, renew, keepers = %s, want %s", got, want)
	}
	if text := fmt.Sprintf("%v %+v %#v %s", c, c, c, c); strings.Contains(text, secret) {
		t.Errorf("the settings print a secret: %s", text)
	}
}

// An operator makes several slips in one file.
// All of them must be named at once with line and key, and the node must not start.
func TestCheckNamesEveryFault(t *testing.T) {
	text := `site = "kingston"
peer = "0.0.0.0:7000"
listen = "10.0.0.7"
http = "localhost:80"
admin = 9000
tables = [
  "10.0.0.1:5000",
  "10.0.0.1:5000",
]
secrets = ["short"]
renew = "10s"
colour = "red"
drain = "3s"
max-body = 1
keepers = 65
`
	want := []string{
		`centre: is missing`,
		`2: peer: "0.0.0.0:7000" cannot be handed out to others; name the host's own IP`,
		`3: listen: "10.0.0.7" is not an IP and port such as 10.0.0.7:7000`,
		`4: http: "localhost:80" is not an IP and port such as 10.0.0.7:7000`,
		`5: admin: incompatible types: TOML value has type int64; destination has type string`,
		`6: tables: "10.0.0.1:5000" is named twice`,
		`10: secrets: a key has 5 bytes; at least 16 are needed`,
		`11: renew: 10s is more than half of lease (15s)`,
		`12: colour: unknown key`,
		`13: drain: 3s must be longer than entries-life (5s)`,
		`14: max-body: 1 is out of range: 1024 to 1073741824`,
		`15: keepers: 65 is out of range: 1 to 64`,
	}
	var got []string
	for _, f := range conf.Check([]byte(text)) {
		got = append(got, f.Error())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Check() =\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	syntax := conf.Check([]byte("site = \"a\"\npeer = = 3\n"))
	if len(syntax) != 1 || syntax[0].Line != 2 {
		t.Errorf("Check() of broken TOML = %v, want one fault in line 2", syntax)
	}
}

// Others are told an address that is translated on the way. The node must open its own: opening the other's would fail,
// and a node that opened nothing else could not be reached.
func TestListenStandsInForPeerAtTheNodeOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	for listen, want := range map[string]string{"": "10.0.0.7:7000", "0.0.0.0:7000": "0.0.0.0:7000"} {
		put(t, path, good+fmt.Sprintf("listen = %q\nsecrets = [%q]\n", listen, secret))
		got, err := conf.Load(path)
		if err != nil || got.ListenAddr() != want || got.Peer != "10.0.0.7:7000" {
			t.Errorf("listen %q: got %s opened, %s named, %v, want %s and 10.0.0.7:7000", listen, got.ListenAddr(), got.Peer, err, want)
		}
	}
}

func TestPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	var defaults strings.Builder
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\S+) \\|").FindAllStringSubmatch(string(page), -1) {
		keys = append(keys, row[1])
		if strings.HasPrefix(row[2], "`") {
			fmt.Fprintf(&defaults, "%s = %s\n", row[1], strings.Trim(row[2], "`"))
		}
	}
	if want := bind.Keys(conf.Conf{}); !reflect.DeepEqual(keys, want) {
		t.Errorf("the page names %q, want %q", keys, want)
	}
	var got conf.Conf
	if _, err := toml.Decode(defaults.String(), &got); err != nil {
		t.Fatal(err)
	}
	want := conf.Default()
	want.Objects, want.Seeds, want.Hosts, want.Secrets, want.Operators = []string{}, []string{}, []string{}, []string{}, []string{}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("defaults on the page = %+v, want %+v", got, want)
	}
}

func FuzzCheck(f *testing.F) {
	f.Add(good + "secrets = ['''a\nb''', \"x]#\"] # c\n")
	f.Fuzz(func(_ *testing.T, text string) {
		conf.Check([]byte(text))
	})
}

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
