package memnet_test

import (
	"errors"
	"io"
	"syscall"
	"testing"

	"damaskreach/internal/stand/memnet"
)

func TestNet(t *testing.T) {
	n := memnet.NewNet()
	if _, err := n.Dial(t.Context(), "a"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("Dial without a listener = %v, want %v", err, syscall.ECONNREFUSED)
	}
	lis, err := n.Listen("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.Listen("a"); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("second Listen = %v, want %v", err, syscall.EADDRINUSE)
	}
	near, err := n.Dial(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	far, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go io.WriteString(far, "x")
	got := make([]byte, 1)
	if _, err := io.ReadFull(near, got); err != nil || got[0] != 'x' {
		t.Errorf("read %q, %v, want x, nil", got, err)
	}
	n.Cut("a")
	if _, err := near.Read(got); err == nil {
		t.Error("Read after Cut succeeded, want an error")
	}
	lis.Close()
	if _, err := n.Dial(t.Context(), "a"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("Dial after Close = %v, want %v", err, syscall.ECONNREFUSED)
	}
	if _, err := n.Listen("a"); err != nil {
		t.Errorf("Listen after Close = %v, want nil", err)
	}
}
