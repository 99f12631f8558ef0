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

// part is the environment variable with the role of a process of TestFreezeOutlastsTheShell.
const part = "PROCS_PART"

// The shell that started the tests exits while a node is suspended. The kernel sends SIGHUP and SIGCONT to the orphaned process group, so that the
// node would resume at once, and the test would wait in vain for another node to take over its runners. Each process that a test starts must have its
// own process group.
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

// again returns a command that runs this test in another process.
func again(as string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run", "^TestFreezeOutlastsTheShell$")
	cmd.Env = append(os.Environ(), part+"="+as)
	return cmd
}

// runShell starts the tests as a shell does, in their own process group, and exits once they have suspended a process.
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

// runTests starts and suspends a process as tests do, and keeps running while the shell exits.
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

// state returns the kernel's letter for the state of a process, empty if there is no such process.
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
