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

// Ten thousand requests end in a second in which an engine is lost. An engineer who looks for the cause needs the one line
// on the engine more than any of those on requests; both are bounded, and neither may push the other out.
func TestLinesOnRequestsDoNotPushOutRareOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := logger.NewLogger(&out, zapcore.InfoLevel)
		requests := l.Zap().Named(logger.Requests)
		for range 10000 {
			requests.Info("request ended")
		}
		l.Zap().Info("upstream gone", zap.String("target", "i-1"))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		l.Run(ctx)
		if got := out.String(); !strings.Contains(got, `"target":"i-1"`) {
			t.Error("the line on the upstream was dropped, want it written")
		}
		if got, most := strings.Count(out.String(), "\n"), 1000; got > most {
			t.Errorf("lines = %d, want at most %d", got, most)
		}
		if got, least := l.Dropped(), int64(9000); got < least {
			t.Errorf("dropped lines = %d, want at least %d", got, least)
		}
	})
}

// Every request of a second meets the same lost host, and each of its decisions writes a line. An engineer needs the one line that tells why; what is
// beyond the bound of its kind is dropped and counted.
func TestLinesOfOneKindDoNotPushOutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := logger.NewLogger(&out, zapcore.InfoLevel)
		log := l.Zap()
		for range 250 {
			log.Info("limit not counted", zap.String("part", "p"))
		}
		for range 100 {
			log.Info("send failed")
		}
		log.Info("hosts lost", zap.Int("count", 1))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		l.Run(ctx)
		if !strings.Contains(out.String(), "hosts lost") {
			t.Error("the line on the lost host was dropped, want it written")
		}
		if got, most := strings.Count(out.String(), "limit not counted"), 60; got > most {
			t.Errorf("lines of one kind = %d, want at most %d", got, most)
		}
		if got, want := l.Dropped(), int64(250-60+100-60); got != want {
			t.Errorf("dropped lines = %d, want %d", got, want)
		}
	})
}
