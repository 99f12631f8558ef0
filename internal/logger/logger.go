// Package logger writes structured lines without ever holding up what they are about.
//
// Whoever reads standard output may be slow or stopped. Were lines written by the goroutine that serves a request, the
// request would wait for that reader. Lines go into two bounded queues instead: one for the line that every request ends
// with, and one for all others, which are rare and go first. Lines that find their queue full, or come faster than their
// bound, are dropped and counted.
package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// Requests is the name of the logger for the line that every request ends with.
	Requests = "requests"
	// common and rare are the lengths of the queues, in lines: a second of a loaded host, and what a burst of changes says.
	common = 1024
	rare   = 512
	// mostCommon and mostRare are how many lines of each kind a second are written; formatting and writing more would take
	// processor time from requests just when there is least of it. A loaded host ends some 40 requests a second
	// and decides some 30 other things, and several times as many in a burst.
	mostCommon = 300
	mostRare   = 300
	// mostSame is how many rare lines of one kind a second are written: a decision that many requests meet at once would push out what caused it.
	mostSame = 60
	// sayEvery is how often dropped lines are counted in a line of their own.
	sayEvery = 5 * time.Second
)

// Logger is the writing end of a log.
type Logger struct {
	common  *queue
	rare    *queue
	dropped atomic.Int64
	out     io.Writer
	level   zap.AtomicLevel
}

// NewLogger returns a writer of lines of a level and above.
func NewLogger(out io.Writer, level zapcore.Level) *Logger {
	l := &Logger{out: out, level: zap.NewAtomicLevelAt(level)}
	l.common = newQueue(&l.dropped, common, mostCommon)
	l.rare = newQueue(&l.dropped, rare, mostRare)
	return l
}

// Zap returns the logger that product code writes with.
func (l *Logger) Zap() *zap.Logger {
	settings := zap.NewProductionEncoderConfig()
	settings.EncodeTime = zapcore.ISO8601TimeEncoder
	settings.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zapcore.NewJSONEncoder(settings)
	ends := func(entry zapcore.Entry) bool { return entry.LoggerName == Requests && entry.Level < zapcore.WarnLevel }
	others := func(entry zapcore.Entry) bool { return !ends(entry) }
	return zap.New(zapcore.NewTee(
		routed{plain{zapcore.NewCore(encoder, l.common, l.level)}, ends},
		routed{l.sampled(plain{zapcore.NewCore(encoder, l.rare, l.level)}), others},
	))
}

// sampled returns a core that takes so many lines of one message a second, and counts the others.
func (l *Logger) sampled(core zapcore.Core) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, mostSame, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			l.dropped.Add(1)
		}
	}))
}

// SetLevel changes the level.
func (l *Logger) SetLevel(level zapcore.Level) {
	l.level.SetLevel(level)
}

// Dropped returns how many lines were dropped so far.
func (l *Logger) Dropped() int64 {
	return l.dropped.Load()
}

// Run writes lines until ctx ends, then what is queued.
func (l *Logger) Run(ctx context.Context) {
	say := time.NewTicker(sayEvery)
	defer say.Stop()
	said := int64(0)
	for {
		select {
		case line := <-l.rare.lines:
			l.write(line)
			continue
		default:
		}
		select {
		case line := <-l.rare.lines:
			l.write(line)
		case line := <-l.common.lines:
			l.write(line)
		case <-say.C:
			if n := l.dropped.Load(); n != said {
				l.Zap().Warn("lines dropped", zap.Int64("lines", n-said), zap.Int64("all", n))
				said = n
			}
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Logger) flush() {
	for {
		select {
		case line := <-l.rare.lines:
			l.write(line)
		case line := <-l.common.lines:
			l.write(line)
		default:
			return
		}
	}
}

// write ignores errors: there is no other place to tell them.
func (l *Logger) write(line []byte) {
	_, _ = l.out.Write(line)
}
