package server

import "log/slog"

// gnetLogger forwards only gnet's errors to the program's log.
type gnetLogger struct{}

func (gnetLogger) Debugf(string, ...any) {}
func (gnetLogger) Infof(string, ...any)  {}
func (gnetLogger) Warnf(string, ...any)  {}

func (gnetLogger) Errorf(format string, args ...any) {
	slog.Debug("gnet error", "format", format, "args", args)
}

func (gnetLogger) Fatalf(format string, args ...any) {
	slog.Error("gnet error", "format", format, "args", args)
}
