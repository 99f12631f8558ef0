package procs_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// part tells a process of TestFreezeOutlastsTheShell which one it is.
const part = "PROCS_PART"

// The shell that started the tests ends while a node is frozen. The system takes the processes that it has left behind for
// abandoned, sends all of them a hangup and wakes those that are stopped: the node goes on at once, and the test waits in vain for
// another one to take its runners. Each process that a test starts has a group of its own, and so is nobody's to wake.
func TestFreezeOutlastsTheShell(t *testing.T) {
	switch os.Getenv(part) {
	case "shell":
		runShell(t)
		return
	case "tests":
		runTests(t)
		return
	}
	shell := again("shell")
	shell.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	out, err := shell.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := shell.Start(); err != nil {
		t.Fatal(err)
	}
	node := 0
	for lines := bufio.NewScanner(out); node == 0 && lines.Scan(); {
		if _, err := fmt.Sscanf(lines.Text(), "frozen %d", &node); err != nil {
			node = 0
		}
	}
	if node == 0 {
		t.Fatal("got no frozen process, want one")
	}
	defer func() { _ = syscall.Kill(node, syscall.SIGKILL) }()
	_ = shell.Wait() // its outcome is not what counts, but that it is gone
	for range 20 {
		if got, want := state(t, node), "T"; got != want {
			t.Fatalf("state of the frozen process after the shell's end = %q, want %q", got, want)
		}
		time.Sleep(look) // a real wait for another process; synctest cannot pause those
	}
}

// again returns this test as another process.
func again(as string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run", "^TestFreezeOutlastsTheShell$")
	cmd.Env = append(os.Environ(), part+"="+as)
	return cmd
}

// runShell starts the tests as a shell does, in a group of their own, and ends once they have frozen a process.
func runShell(t *testing.T) {
	tests := again("tests")
	tests.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := tests.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := tests.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	fmt.Print(line)
}

// runTests starts and freezes a process as tests do, and stays while the shell ends.
func runTests(t *testing.T) {
	cmd := command("/bin/sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for state(t, cmd.Process.Pid) != "T" {
		time.Sleep(look) // a real wait for another process; synctest cannot pause those
	}
	fmt.Println("frozen", cmd.Process.Pid)
	time.Sleep(5 * time.Second) // a real wait for another process; synctest cannot pause those
}

// state returns the letter by which the system tells what a process does; it is empty where there is none.
func state(t *testing.T, pid int) string {
	t.Helper()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if os.IsNotExist(err) {
		return ""
	}
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return rest[:1]
}
