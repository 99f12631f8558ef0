// Command stand2 plays the cases of the second review: it starts the product's processes between stand-ins for the platform,
// the runners and the requesters, and judges what those have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// longest is how long a case may run.
const longest = 115 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"crasher": crasherCase,
	"memory":  memoryCase,
	"resume":  resumeCase,
}

func main() {
	name := flag.String("case", "", "which case is played")
	dir := flag.String("out", ".", "folder for record.txt")
	flag.Parse()
	go endOnSignal()
	os.Exit(play(*name, *dir))
}

// endOnSignal ends the hosts' processes and this one when it is told to stop, or runs for too long.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(longest):
	}
	killAll()
	fmt.Fprintln(os.Stderr, "the case was ended before its time")
	os.Exit(failed)
}

func play(name, dir string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return failed
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	ok, err = c(rec, os.Getenv("TROUBLE") != "0")
	if closed := rec.close(); err == nil {
		err = closed
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	case !ok:
		return broken
	}
	return held
}
