package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/logger"
)

// stuck is a reader of standard output that has stopped.
type stuck struct{ free chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

// Whoever reads standard output stops. Requests go on at the same rate, since nothing waits for a line to be written, and
// the lines that were lost are counted.
func TestStoppedReaderHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stuck{make(chan struct{})}
		l := logger.NewLogger(s, zapcore.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		log := l.Zap()
		began := time.Now()
		for range 5000 {
			log.Info("refused", zap.String("request", "1"))
		}
		if got := time.Since(began); got != 0 {
			t.Errorf("5,000 lines took %v, want no waiting", got)
		}
		if l.Dropped() == 0 {
			t.Error("dropped lines = 0, want them counted")
		}
		close(s.free)
		cancel()
		<-done
	})
}

// An error that carries a stack is written as its text: the stack would make a line twenty times as long, and a loaded host
// would lose others for it.
func TestErrorsAreWrittenWithoutStacks(t *testing.T) {
	var out bytes.Buffer
	l := logger.NewLogger(&out, zapcore.InfoLevel)
	l.Zap().Warn("failed", zap.Error(merry.New("text")))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Run(ctx)
	if got := out.String(); !strings.Contains(got, `"error":"text"`) || strings.Contains(got, "errorVerbose") {
		t.Errorf("line = %s, want the text alone", got)
	}
	if got, want := strings.Count(out.String(), "\n"), 1; got != want {
		t.Errorf("lines = %d, want %d", got, want)
	}
}
