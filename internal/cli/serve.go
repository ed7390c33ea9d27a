package cli

import (
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// forceQuitMargin is added to the duration of a planned stop. go-zero ends the
// process by force after the sum; its default is 5.5 s after SIGTERM.
const forceQuitMargin = time.Minute

func (a *app) addServe() {
	var file string
	cmd := a.command("serve", "Run an entry node.", func() error {
		s, err := settings.Load(file)
		if err != nil {
			return err
		}
		if err := a.setUpLog(s.Log.Level, s.Log.Format); err != nil {
			return err
		}
		debug.SetMemoryLimit(s.Limits.Memory)
		proc.SetTimeToForceQuit(s.Timing.DrainWait + s.Timing.DrainTimeout + forceQuitMargin)
		return a.handlers.Serve(a.ctx, s)
	})
	cmd.Flag("config", "Settings file.").Short('c').Required().ExistingFileVar(&file)
}

func (a *app) addDev() {
	var o DevOptions
	var level string
	var files []string
	cmd := a.command("dev", "Run a cluster on this machine with stand-ins for the platform.", func() error {
		if err := a.setUpLog(level, "text"); err != nil {
			return err
		}
		proc.SetTimeToForceQuit(forceQuitMargin)
		var err error
		if o.Objects, err = readChanges(files); err != nil {
			return err
		}
		return a.handlers.Dev(a.ctx, o)
	})
	cmd.Flag("demo", "Publish example objects and keep submitting work.").BoolVar(&o.Demo)
	cmd.Flag("nodes", "Number of entry nodes.").Default("3").IntVar(&o.Nodes)
	cmd.Flag("workers", "Number of workers.").Default("12").IntVar(&o.Workers)
	cmd.Flag("runners", "Number of runners.").Default("4").IntVar(&o.Runners)
	cmd.Flag("http", "Listening address of the first entry node.").Default("127.0.0.1:8080").StringVar(&o.HTTP)
	cmd.Flag("objects", "File or directory of objects to publish at the start, in place of the example; may be repeated.").ExistingFilesOrDirsVar(&files)
	cmd.Flag("log-level", "Least level of log lines.").Default("info").EnumVar(&level, "debug", "info", "warn", "error")
}

func (a *app) setUpLog(level, format string) error {
	log, err := logging.New(a.std.Err, level, format)
	if err != nil {
		return err
	}
	slog.SetDefault(log)
	logging.CaptureGoZero(log)
	return nil
}
