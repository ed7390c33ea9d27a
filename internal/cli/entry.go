package cli

import (
	"runtime/debug"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// goMemoryFraction is the fraction of the process's memory limit that is set
	// as the soft memory limit of the Go runtime.
	goMemoryFraction = 0.7
)

func (a *app) addEntry() {
	var file string
	cmd := a.command("entry", "Run an entry process of a cell on the users' platform.", func() error {
		s, err := config.Load(file)
		if err != nil {
			return err
		}
		if err := a.setUpLog(s.Log.Level, s.Log.Format); err != nil {
			return err
		}
		debug.SetMemoryLimit(int64(goMemoryFraction * float64(s.Limits.MemoryBytes())))
		proc.SetTimeToForceQuit(config.Seconds(s.Bounds.GraceSeconds) + time.Minute)
		return a.handlers.Entry(a.ctx, s)
	})
	cmd.Flag("config", "Settings file.").Short('c').Required().Envar(platform.SettingsVariable).ExistingFileVar(&file)
}
