// Command stand plays one case of the review: the project's program on three hosts, between stand-ins for the platform's store, runners and
// callers. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name; each returns an exit code.
var cases = map[string]func(s *site, storeAddr string, trouble bool) (int, error){
	"extra":  playExtra,
	"poison": playPoison,
	"roll":   playRoll,
}

func main() {
	// The processes of the hosts end with the thread that starts them, which must be the one that lasts.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "the folder of the case, for record.txt")
	flag.Parse()
	code, err := play(*name, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = failed
	}
	os.Exit(code)
}

func play(name, dir string) (code int, err error) {
	run, ok := cases[name]
	if !ok {
		return failed, fmt.Errorf("no case %q", name)
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return failed, err
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return failed, err
	}
	defer os.RemoveAll(temporary)
	s, storeAddr, err := newSite(rec, temporary)
	if err != nil {
		return failed, err
	}
	defer s.close()
	code, err = run(s, storeAddr, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return failed, err
	}
	return code, s.checkServed()
}
