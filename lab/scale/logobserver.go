package scale

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// logObserver is a logging core that reads the state of a node from its log entries.
type logObserver struct{ node *emulatedNode }

func (o *logObserver) Enabled(level zapcore.Level) bool  { return level >= zapcore.InfoLevel }
func (o *logObserver) With([]zapcore.Field) zapcore.Core { return o }
func (o *logObserver) Sync() error                       { return nil }
func (o *logObserver) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if o.Enabled(entry.Level) {
		return checked.AddCore(entry, o)
	}
	return checked
}

func (o *logObserver) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	w := o.node.worker
	switch entry.Message {
	case "serving":
		w.serving.Add(1)
	case "list in force":
		now := time.Now().UnixNano()
		w.mu.Lock()
		for _, field := range fields {
			if field.Key == "version" && field.Integer > o.node.version {
				w.changes = append(w.changes, appliedChange{o.node.index, o.node.version, field.Integer, now})
				o.node.version = field.Integer
			}
		}
		w.mu.Unlock()
	case "quota group":
		w.mu.Lock()
		for _, field := range fields {
			switch field.Key {
			case "leader":
				o.node.leader = int(field.Integer)
			case "has_quorum":
				o.node.hasQuorum = field.Integer == 1
			}
		}
		w.mu.Unlock()
	}
	if entry.Level >= zapcore.WarnLevel {
		w.mu.Lock()
		w.warnings[entry.Message]++
		w.mu.Unlock()
	}
	return nil
}
