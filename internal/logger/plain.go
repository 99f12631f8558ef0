package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plain writes errors as their text alone: the stacks that they carry make a line twenty times as long.
type plain struct {
	zapcore.Core
}

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
