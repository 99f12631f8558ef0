package logger

import "go.uber.org/zap/zapcore"

// routed passes the lines on that belong to a core.
type routed struct {
	zapcore.Core
	takes func(entry zapcore.Entry) bool
}

// With adds fields to all lines.
func (r routed) With(fields []zapcore.Field) zapcore.Core {
	return routed{r.Core.With(fields), r.takes}
}

// Check asks the core about a line of its own.
func (r routed) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if r.takes(entry) {
		return r.Core.Check(entry, checked)
	}
	return checked
}
