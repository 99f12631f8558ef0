package serve

import (
	"bufio"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// options are the flags of the command line.
type options struct {
	Table   string       `long:"table" value-name:"ADDR" description:"serve the table service at this IP and port"`
	Objects string       `long:"objects" value-name:"ADDR" description:"serve the object store"`
	Hosts   string       `long:"hosts" value-name:"ADDR" description:"serve the host list"`
	Weights string       `long:"weights" value-name:"ADDR" description:"serve the faults and records of the weight store, from which the engines of this process load"`
	Admin   string       `long:"admin" value-name:"ADDR" description:"serve the faults of engines and plain services, as POST /NAME/admin/FAULT"`
	Writes  int          `long:"writes" value-name:"N" description:"writes that the table service carries out in a second; 0 means no limit"`
	Reads   int          `long:"reads" value-name:"N" description:"readings that the table service carries out in a second; 0 means no limit"`
	Host    []hostFlag   `long:"host" value-name:"IP=CENTRE" description:"put a live host of a data centre into the host list (repeatable)"`
	Engine  []engineFlag `long:"engine" value-name:"SPEC" description:"serve a model engine, NAME=ADDR with optional ,slots=N,batch=N,fences=BOOL,resumes=true (repeatable)"`
	Engines string       `long:"engines" value-name:"FILE" description:"read engines from a file, one in the form of --engine a line"`
	Plain   []plainFlag  `long:"plain" value-name:"NAME=ADDR" description:"serve a plain service (repeatable)"`
}

// hostFlag is a host as IP=CENTRE.
type hostFlag struct {
	addr, centre string
}

// UnmarshalFlag reads the flag's value.
func (f *hostFlag) UnmarshalFlag(text string) error {
	addr, centre, ok := strings.Cut(text, "=")
	if _, err := netip.ParseAddr(addr); !ok || err != nil || centre == "" {
		return merry.Errorf("host %q is not IP=CENTRE", text)
	}
	*f = hostFlag{addr, centre}
	return nil
}

// plainFlag is a plain service as NAME=ADDR.
type plainFlag struct {
	name, addr string
}

// UnmarshalFlag reads the flag's value.
func (f *plainFlag) UnmarshalFlag(text string) error {
	name, addr, ok := strings.Cut(text, "=")
	if _, err := netip.ParseAddrPort(addr); !ok || err != nil || name == "" || strings.Contains(name, "/") {
		return merry.Errorf("upstream %q is not NAME=IP:PORT", text)
	}
	*f = plainFlag{name, addr}
	return nil
}

// engineFlag is a model engine as NAME=ADDR with its settings behind commas.
type engineFlag struct {
	plainFlag
	slots, batch int // 0 means the stand-in's own
	fences       bool
}

// UnmarshalFlag reads the flag's value.
func (f *engineFlag) UnmarshalFlag(text string) error {
	first, rest, _ := strings.Cut(text, ",")
	next := engineFlag{fences: true}
	if err := next.plainFlag.UnmarshalFlag(first); err != nil {
		return err
	}
	for setting := range strings.SplitSeq(rest, ",") {
		if err := next.set(setting); err != nil {
			return merry.Prependf(err, "engine %q", next.name)
		}
	}
	*f = next
	return nil
}

func (f *engineFlag) set(setting string) (err error) {
	key, value, _ := strings.Cut(setting, "=")
	switch key {
	case "":
	case "slots":
		f.slots, err = positive(value)
	case "batch":
		f.batch, err = positive(value)
	case "fences":
		f.fences, err = strconv.ParseBool(value)
	case "resumes":
		err = always(value)
	default:
		err = merry.Errorf("unknown setting %q", key)
	}
	return merry.Prependf(err, "%q", setting)
}

// always takes true only: the stand-in resumes every stream it is asked to.
func always(text string) error {
	on, err := strconv.ParseBool(text)
	if err == nil && !on {
		err = merry.New("the stand-in always does")
	}
	return err
}

func positive(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err == nil && n < 1 {
		err = merry.New("not above 0")
	}
	return n, err
}

// engines returns the engines of the command line and of the file.
func (o options) engines() ([]engineFlag, error) {
	if o.Engines == "" {
		return o.Engine, nil
	}
	file, err := os.Open(o.Engines)
	if err != nil {
		return nil, merry.Prepend(err, "reading engines")
	}
	defer file.Close()
	all := o.Engine
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var f engineFlag
		if err := f.UnmarshalFlag(line); err != nil {
			return nil, merry.Prependf(err, "%s:%d", o.Engines, number)
		}
		all = append(all, f)
	}
	return all, merry.Prepend(lines.Err(), "reading engines")
}
