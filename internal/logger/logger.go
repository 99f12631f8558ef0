// Package logger writes structured lines without ever holding up what they are about.
//
// Whoever reads standard output may be slow or stopped. Were lines written by the goroutine that serves a request, the
// request would wait for that reader. Lines go into two bounded queues instead, one for warnings and worse; lines that
// find their queue full are dropped and counted.
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
	// common and rare are the lengths of the queues, in lines: a second of a loaded host, and what a burst of changes says.
	common = 1024
	rare   = 256
	// mostEach is how many common lines a second are written; formatting and writing more would take processor time from
	// requests just when there is least of it.
	mostEach = 400
	// sayEvery is how often dropped lines are counted in a line of their own.
	sayEvery = 5 * time.Second
)

// Logger is the writing end of a log.
type Logger struct {
	common  chan []byte
	rare    chan []byte
	dropped atomic.Int64
	out     io.Writer
	level   zap.AtomicLevel
	second  atomic.Int64
	count   atomic.Int64
}

// NewLogger returns a writer of lines of a level and above.
func NewLogger(out io.Writer, level zapcore.Level) *Logger {
	return &Logger{
		common: make(chan []byte, common), rare: make(chan []byte, rare), out: out, level: zap.NewAtomicLevelAt(level),
	}
}

// Zap returns the logger that product code writes with.
func (l *Logger) Zap() *zap.Logger {
	settings := zap.NewProductionEncoderConfig()
	settings.EncodeTime = zapcore.ISO8601TimeEncoder
	settings.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zapcore.NewJSONEncoder(settings)
	below := zap.LevelEnablerFunc(func(v zapcore.Level) bool { return l.level.Enabled(v) && v < zapcore.WarnLevel })
	above := zap.LevelEnablerFunc(func(v zapcore.Level) bool { return l.level.Enabled(v) && v >= zapcore.WarnLevel })
	return zap.New(zapcore.NewTee(
		plain{zapcore.NewCore(encoder, queue{l, l.common, true}, below)},
		plain{zapcore.NewCore(encoder, queue{l, l.rare, false}, above)},
	))
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
		case line := <-l.rare:
			l.write(line)
			continue
		default:
		}
		select {
		case line := <-l.rare:
			l.write(line)
		case line := <-l.common:
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
		case line := <-l.rare:
			l.write(line)
		case line := <-l.common:
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

// admit counts a common line against its rate.
func (l *Logger) admit() bool {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.count.Store(0)
	}
	return l.count.Add(1) <= mostEach
}

// queue is the end of one of the queues that lines are put into.
type queue struct {
	l       *Logger
	lines   chan []byte
	bounded bool
}

// Write queues a copy of a line or drops it.
func (q queue) Write(line []byte) (int, error) {
	if q.bounded && !q.l.admit() {
		q.l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writer writes each line at once.
func (q queue) Sync() error { return nil }

// plain writes errors as their text alone: the stacks that they carry make a line twenty times as long.
type plain struct{ zapcore.Core }

// With adds fields to all lines.
func (p plain) With(fields []zapcore.Field) zapcore.Core {
	return plain{p.Core.With(flat(fields))}
}

// Check lets this core write the line, where its level is enabled.
func (p plain) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write writes one line.
func (p plain) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, flat(fields))
}

func flat(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
