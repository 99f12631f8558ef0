package decl_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"damaskreach/internal/adapt"
	"damaskreach/internal/decl"
	"damaskreach/internal/group"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/tenant"
)

// files of a small declaration in both forms.
var sheet = map[string]string{
	"groups.csv":   "name,base,store,rate,plain\nassist,llama,main,,\ndesk,,,,true\n",
	"tenants.csv":  "name,weight,requests,tokens,keys\nroads,3,600,,\"" + strings.Repeat("a1", 32) + ";" + strings.Repeat("b2", 32) + "\"\n",
	"runners.csv":  "name,group,addr,centre,slots,batch,fences,resumes,leaving\nr1,assist,10.0.0.1:80,hall-marcus,4,16,true,,\n",
	"adapters.csv": "name,tenant,group,versions,requests,tokens,pinned\nmix-2,roads,assist,v1:90;v2:10,60,9000,true\nmix-1,roads,assist,1.0:1,,,\n",
	"tune.toml":    "[tune]\nstall = 0.8\nrare = 2\nqueue = 64\nfirst = \"410ms\"\ngap = \"35ms\"\nhalf-life = \"10m0s\"\nretry-share = 0.1\n",
}

func folder(t testing.TB, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func mustRead(t testing.TB, path string) decl.Decl {
	t.Helper()
	d, faults := decl.Read(path)
	if len(faults) > 0 {
		t.Fatalf("Read(%s) = %v, want no fault", path, faults)
	}
	return d
}

func TestSaveWritesTheSameFiles(t *testing.T) {
	d := mustRead(t, folder(t, sheet))
	next, errs := d.WithRows(d.Rows())
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	out := filepath.Join(t.TempDir(), "new")
	if err := next.Save(out); err != nil {
		t.Fatal(err)
	}
	for name, want := range sheet {
		got, err := os.ReadFile(filepath.Join(out, name))
		want = strings.ReplaceAll(want, "\"a1", "a1")
		want = strings.ReplaceAll(want, "b2\"", "b2")
		if err != nil || string(got) != want {
			t.Errorf("%s = %q, %v, want %q", name, got, err, want)
		}
	}
}

// An operator made slips all over the files. Each must be named with its place in one go,
// also those that only show when rows are held against each other.
func TestReadNamesEveryFault(t *testing.T) {
	files := map[string]string{
		"groups.toml":  "[[group]]\nname = \"assist\"\nbase = \"llama\"\ncolour = 3\n\n[[group]]\nname = \"desk\"\n[notes]\n",
		"tenants.csv":  "name;weight\nroads;x\nroads;2\nschools;1\n",
		"runners.csv":  "name,group,addr,centre,batch\nr1,assist,10.0.0.1,hall-marcus,1\nr2,none,10.0.0.1:80,hall-marcus,1,7\n",
		"adapters.csv": "name,tenant,group,versions\na,roads,assist,v1\n\nb,parks,none,v1:1;v1:2\nc,schools,assist,v1:0\n",
		"other.csv":    "name\n",
	}
	want := `adapters.csv:2: adapter/a.versions: "v1" is no version with its share, such as v1:90
adapters.csv:4: adapter/b.versions: version "v1" stands twice
adapters.csv:4: adapter/b.tenant: there is no tenant/parks
adapters.csv:4: adapter/b.group: there is no group/none
adapters.csv:5: adapter/c.versions: no version has a share above 0
groups.toml:4: group/assist.colour: unknown key
groups.toml:6: group/desk.base: is missing, and the group is not a plain service
groups.toml:8: notes: unknown table
other.csv:1: the name of a CSV file begins with groups, tenants, runners or adapters
runners.csv:2: runner/r1.addr: "10.0.0.1" is not an IP and port such as 10.0.0.7:8000
runners.csv:3: has 6 columns; the header has 5
tenants.csv:2: tenant/roads.weight: "x" is no whole number
tenants.csv:3: tenant/roads.name: stands twice; it is first in tenants.csv:2`
	d, faults := decl.Read(folder(t, files))
	var got []string
	for _, f := range faults {
		got = append(got, f.Error())
	}
	if got := strings.Join(got, "\n"); got != want {
		t.Errorf("faults =\n%s\nwant\n%s", got, want)
	}
	if got, want := fmt.Sprint(d.Unread()), "[groups.toml other.csv runners.csv]"; got != want {
		t.Errorf("Unread() = %s, want %s", got, want)
	}
}

// many returns rows of the size to design for.
func many(count int) []rows.Row {
	all := []rows.Row{
		{Key: "conf/group/assist", Value: []byte(`{"name":"assist","base":"llama"}`)},
	}
	for i := range 100 {
		name := fmt.Sprintf("tenant-%03d", i)
		all = append(all, rows.Row{Key: "conf/tenant/" + name, Value: fmt.Appendf(nil, `{"name":%q,"weight":%d}`, name, 1+i%7)})
	}
	for i := range count {
		name := fmt.Sprintf("adapter-%05d", i)
		value := fmt.Appendf(nil, `{"name":%q,"tenant":"tenant-%03d","group":"assist","versions":{"v%d":90,"v%d.1":10},"requests":%d}`, name, i%100, i%9, i%9, 60+i)
		all = append(all, rows.Row{Key: "conf/adapter/" + name, Value: value})
	}
	return all
}

// seedTOML makes all rows go to one TOML file, which holds a row of each kind used here.
const seedTOML = "[[group]]\nname = \"assist\"\nbase = \"x\"\n[[tenant]]\nname=\"x\"\n" +
	"[[adapter]]\nname=\"a\"\ntenant=\"x\"\ngroup=\"assist\"\nversions.v1=1\n"

// large returns a declaration of 57,000 adapters whose rows go to files of one form.
func large(t testing.TB, form string) decl.Decl {
	t.Helper()
	d := decl.NewDecl()
	if form == "toml" {
		d = mustRead(t, folder(t, map[string]string{"all.toml": seedTOML}))
	}
	d, errs := d.WithRows(many(57000))
	if len(errs) > 0 {
		t.Fatal(errs[0])
	}
	return d
}

var forms = []string{"csv", "toml"}

func TestRoundTripOf57000Rows(t *testing.T) {
	for _, form := range forms {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			d := large(t, form)
			out := t.TempDir()
			if err := d.Save(out); err != nil {
				t.Fatal(err)
			}
			if found, _ := filepath.Glob(filepath.Join(out, "*."+form)); len(found) == 0 {
				t.Errorf("no %s file was written", form)
			}
			again := mustRead(t, out)
			if got, want := again.Rows(), d.Rows(); !reflect.DeepEqual(got, want) {
				t.Errorf("%d rows came back changed or not at all, want %d", len(got), len(want))
			}
		})
	}
}

func BenchmarkRead57000(b *testing.B) {
	for _, form := range forms {
		b.Run(form, func(b *testing.B) {
			dir := b.TempDir()
			if err := large(b, form).Save(dir); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				mustRead(b, dir)
			}
		})
	}
}

func BenchmarkSave57000(b *testing.B) {
	for _, form := range forms {
		b.Run(form, func(b *testing.B) {
			d, dir := large(b, form), b.TempDir()
			for b.Loop() {
				if err := d.Save(dir); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Whatever reads without a fault must come back unchanged after it was saved.
func FuzzRead(f *testing.F) {
	f.Add("name,tenant,group,versions\nmix,x,assist,v1:1\n", seedTOML+"[tune]\nstall = 1\nfirst = \"1s\"\n")
	f.Add("name;tenant\tgroup;versions\r\n\"b\";x\n", "tenant = [{name = 'x', keys = []}]\ngroup = [{name = \"g\", base = '''a\"'''}]\n")
	f.Fuzz(func(t *testing.T, csv, toml string) {
		d, faults := decl.Read(folder(t, map[string]string{"adapters.csv": csv, "all.toml": toml}))
		if len(faults) > 0 {
			return
		}
		dir := t.TempDir()
		if err := d.Save(dir); err != nil {
			t.Fatal(err)
		}
		if got, want := mustRead(t, dir).Rows(), d.Rows(); !reflect.DeepEqual(got, want) {
			t.Errorf("rows after Save = %v, want %v", got, want)
		}
	})
}

// A field of a type that cells cannot hold was added to a row. Operators who keep CSV files would lose its values
// with the next get, and nobody would notice until limits or rates are wrong.
func TestEveryFieldSurvivesBothForms(t *testing.T) {
	examples := map[string]any{
		"adapter": new(adapt.Adapter), "tenant": new(tenant.Tenant), "group": new(group.Group), "runner": new(runner.Runner),
	}
	var all []rows.Row
	for kind, example := range examples {
		fill(t, reflect.ValueOf(example).Elem())
		value, err := json.Marshal(example)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, rows.Row{Key: "conf/" + kind + "/x1", Value: value})
	}
	toml, _ := decl.Read(folder(t, map[string]string{"all.toml": "[[adapter]]\nname='x1'\n[[tenant]]\nname='x1'\n[[group]]\nname='x1'\n[[runner]]\nname='x1'\n"}))
	for form, d := range map[string]decl.Decl{"csv": decl.NewDecl(), "toml": toml} {
		d, errs := d.WithRows(all)
		dir := t.TempDir()
		if err := d.Save(dir); err != nil || len(errs) > 0 {
			t.Fatal(err, errs)
		}
		again, _ := decl.Read(dir) // the values are not sensible, which does not matter here
		if got, want := again.Rows(), d.Rows(); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: rows came back as\n%s\nwant\n%s", form, show(got), show(want))
		}
	}
}

// fill gives each field a value that is not its zero.
func fill(t *testing.T, row reflect.Value) {
	for i := range row.NumField() {
		switch field := row.Field(i); field.Interface().(type) {
		case string:
			field.SetString("x1")
		case int:
			field.SetInt(7)
		case float64:
			field.SetFloat(2.5)
		case bool:
			field.SetBool(true)
		case []string:
			field.Set(reflect.ValueOf([]string{"k1", "k2"}))
		case map[string]int:
			field.Set(reflect.ValueOf(map[string]int{"v1": 3, "v2": 4}))
		default:
			t.Errorf("no cell form is known for %s of type %s", row.Type().Field(i).Name, field.Type())
		}
	}
}

func show(all []rows.Row) string {
	var lines []string
	for _, row := range all {
		lines = append(lines, row.Key+" "+string(row.Value))
	}
	return strings.Join(lines, "\n")
}
