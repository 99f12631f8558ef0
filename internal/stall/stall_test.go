package stall_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stall"
)

// A process is stopped and goes on. Whatever runs first must know of it, not only what watches the time.
func TestPauseIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, stopped := time.Now(), time.Duration(0)
		s := &stall.Stall{Clock: func() time.Duration { return time.Since(start) + stopped }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		time.Sleep(time.Second)
		if pause, _ := s.LastPause(); pause != 0 {
			t.Errorf("pause = %v before the process was stopped, want 0", pause)
		}
		stopped = 3 * time.Second
		if pause, ago := s.LastPause(); pause < stopped || ago != 0 {
			t.Errorf("pause = %v, %v ago, want %v or a bit more, just now", pause, ago, stopped)
		}
		time.Sleep(time.Second)
		if pause, ago := s.LastPause(); pause < stopped || ago != time.Second {
			t.Errorf("pause = %v, %v ago, want %v or a bit more, 1s ago", pause, ago, stopped)
		}
	})
}

// The host is so busy that the watching goroutine runs late. That is no pause.
func TestLateTickIsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, late := time.Now(), time.Duration(0)
		s := &stall.Stall{Clock: func() time.Duration { return time.Since(start) + late }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			late += 200 * time.Millisecond
		}
		if pause, _ := s.LastPause(); pause != 0 {
			t.Errorf("pause = %v, want 0", pause)
		}
	})
}
