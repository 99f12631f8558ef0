package procs_test

import (
	"syscall"
	"testing"
)

// A node is killed, and another is suspended for longer than its lease and then resumed. Callers of the remaining node may notice a pause at most: every
// runner must get an owner again, and the resumed node must give up what it no longer owns.
func TestWholePathOverProcesses(t *testing.T) {
	f := newFleet(t)
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", func() bool {
		return len(f.owned(0)) == 1 && len(f.owned(1)) == 1 && len(f.owned(2)) == 1
	})
	for i := range nodes {
		f.serves(i)
	}

	f.signal(2, syscall.SIGKILL)
	f.await("two nodes own all runners", func() bool { return len(f.owned(0))+len(f.owned(1)) == 3 })
	f.serves(0)

	f.signal(1, syscall.SIGSTOP)
	f.await("one node owns all runners", func() bool { return len(f.owned(0)) == 3 })
	f.serves(0)

	f.signal(1, syscall.SIGCONT)
	f.await("the woken node takes its share again", func() bool { return len(f.owned(0)) == 2 && len(f.owned(1)) == 1 })
	f.serves(0)
	f.serves(1)
}
