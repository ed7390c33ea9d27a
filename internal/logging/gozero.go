package logging

import (
	"fmt"
	"log/slog"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
)

// CaptureGoZero sends the log lines of go-zero to l and disables its periodic
// statistics. It affects the whole process.
func CaptureGoZero(l *slog.Logger) {
	logx.DisableStat()
	// At a lower level go-zero formats a line for every HTTP call.
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(goZeroWriter{WithComponent(l, "go-zero")})
}

// goZeroWriter is a logx.Writer that writes to slog.
type goZeroWriter struct{ log *slog.Logger }

func (w goZeroWriter) Alert(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Close() error                    { return nil }
func (w goZeroWriter) Debug(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }

// Error logs an error line of go-zero. Lines of its HTTP client go to level
// debug, since the caller of the client reports the same error with a verdict.
func (w goZeroWriter) Error(v any, _ ...logx.LogField) {
	text := fmt.Sprint(v)
	if strings.HasPrefix(text, "[HTTP] ") {
		w.log.Debug(text)
		return
	}
	w.log.Error(text)
}

func (w goZeroWriter) Info(v any, _ ...logx.LogField) { w.log.Info(fmt.Sprint(v)) }
func (w goZeroWriter) Severe(v any)                   { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Slow(v any, _ ...logx.LogField) { w.log.Warn(fmt.Sprint(v)) }
func (w goZeroWriter) Stack(v any)                    { w.log.Error(fmt.Sprint(v)) }
func (w goZeroWriter) Stat(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
