package cli

import (
	"context"
	"log/slog"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/medlarpulley/medlarpulley/internal/logging"
)

// app holds the state of one run of the binary.
type app struct {
	ctx      context.Context
	std      Streams
	handlers Handlers
	kingpin  *kingpin.Application
	output   string
	connect  connection
	// started is true once a command runs; errors before that are usage errors.
	started bool
}

// terminated is the panic value that carries the exit code when kingpin ends the
// program itself, for example after --help.
type terminated int

// Run parses args, runs one command and returns its exit code.
func Run(ctx context.Context, args []string, std Streams, r Handlers) (code int) {
	a := &app{ctx: ctx, std: std, handlers: r}
	a.build()
	defer func() {
		if v := recover(); v != nil {
			exit, ok := v.(terminated)
			if !ok {
				panic(v)
			}
			code = int(exit)
		}
	}()
	if _, err := a.kingpin.Parse(args); err != nil {
		if !a.started {
			err = usageError{err}
			a.output = outputOf(args)
		}
		a.report(err)
		return exitCode(err)
	}
	return ExitOK
}

// outputOf returns the output format that is named in arguments that could not be
// parsed.
func outputOf(args []string) string {
	for i, arg := range args {
		switch {
		case arg == "-ojson", arg == "--output=json":
			return "json"
		case (arg == "-o" || arg == "--output") && i+1 < len(args) && args[i+1] == "json":
			return "json"
		}
	}
	return "table"
}

func (a *app) build() {
	k := kingpin.New("medlarpulley", "Cluster scheduler: entry node, operator and caller commands in one binary.")
	k.Version(Version()).UsageWriter(a.std.Out).ErrorWriter(a.std.Err)
	k.Terminate(func(code int) { panic(terminated(code)) })
	k.HelpFlag.Short('h')
	k.Flag("output", "Form of the output: table or json.").Short('o').Default("table").EnumVar(&a.output, "table", "json")
	a.kingpin = k
	a.connect.flags(k)
	a.addServe()
	a.addEntry()
	a.addDev()
	a.addMeasure()
	a.addSettings()
	a.addCheck()
	a.addCheckDesired()
	a.addApply()
	a.addDiff()
	a.addGet()
	a.addWithdraw()
	a.addDump()
	a.addDrain()
	a.addSubmit()
	a.addJobCommands()
	a.addWatch()
	a.addRequest()
	a.addLoad()
}

// command adds a command with the action do.
func (a *app) command(name, help string, do func() error) *kingpin.CmdClause {
	return a.kingpin.Command(name, help).Action(func(*kingpin.ParseContext) error {
		a.started = true
		return do()
	})
}

// discardLibraryLogs keeps log lines of go-zero out of the output of client
// commands.
func (a *app) discardLibraryLogs() { logging.CaptureGoZero(slog.New(slog.DiscardHandler)) }

// Version returns the version, the VCS revision and the Go version of the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, revision, dirty := info.Main.Version, "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = " " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " modified"
		}
	}
	return "medlarpulley " + version + revision + dirty + " " + info.GoVersion
}
