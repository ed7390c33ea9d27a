package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pelletier/go-toml/v2"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// jobFlags are the flags of submit that describe a job.
type jobFlags struct {
	job                      gateway.JobSpec
	kind, class              string
	lease, runtime, deadline time.Duration
	command                  []string
}

func (f *jobFlags) add(cmd *kingpin.CmdClause) {
	j := &f.job
	cmd.Flag("id", "Id of the job; a repeated submission with it is recognised. Made up if not given.").StringVar(&j.ID)
	cmd.Flag("team", "Team; that of the key if not given.").StringVar(&j.Team)
	cmd.Flag("queue", "Queue.").StringVar(&j.Queue)
	cmd.Flag("kind", "Kind of job.").Default("batch").EnumVar(&f.kind, "batch", "service", "gang")
	cmd.Flag("class", "Class of the job.").Default("normal").EnumVar(&f.class, "urgent", "normal", "background")
	cmd.Flag("tasks", "Number of tasks.").Default("1").Int32Var(&j.Tasks)
	cmd.Flag("milli-cpu", "Thousandths of a core for each task.").Default("1000").Int64Var(&j.Size.MilliCPU)
	cmd.Flag("memory-mib", "MiB of memory for each task.").Default("1024").Int64Var(&j.Size.MemoryMiB)
	cmd.Flag("accelerators", "Accelerators for each task.").Int64Var(&j.Size.Accelerators)
	cmd.Flag("idempotent", "Tasks may be started again after a failure.").BoolVar(&j.Idempotent)
	cmd.Flag("lease", "Time without contact after which a task counts as lost.").Default("10s").DurationVar(&f.lease)
	cmd.Flag("runtime", "Declared run time of a task.").DurationVar(&f.runtime)
	cmd.Flag("deadline", "Time from acceptance by which the job should have ended.").DurationVar(&f.deadline)
	cmd.Flag("template", "Family of jobs that sizes and run times are learned for.").StringVar(&j.Template)
	cmd.Arg("command", "Command of each task.").StringsVar(&f.command)
}

func (f *jobFlags) spec() (gateway.JobSpec, error) {
	j := f.job
	if err := j.Kind.UnmarshalText([]byte(f.kind)); err != nil {
		return j, err
	}
	if err := j.Class.UnmarshalText([]byte(f.class)); err != nil {
		return j, err
	}
	if j.ID == "" {
		j.ID = uuid.NewString()
	}
	j.Lease, j.Runtime, j.Deadline = objects.Duration(f.lease), objects.Duration(f.runtime), objects.Duration(f.deadline)
	j.Command = strings.Join(f.command, " ")
	return j, nil
}

func (a *app) addSubmit() {
	var flags jobFlags
	var file string
	var wait, fromFile bool
	cmd := a.command("submit", "Submit a job, or the jobs in a file.", func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		if fromFile {
			return a.submitFile(ctx, client, file)
		}
		job, err := flags.spec()
		if err != nil {
			return usageError{err}
		}
		status, err := client.Submit(ctx, job, wait)
		if err != nil {
			return err
		}
		return a.printJob(status, wait)
	})
	flags.add(cmd)
	cmd.Flag("file", "TOML file of [[job]] tables, sent as one batch; - for the input.").Short('f').IsSetByUser(&fromFile).StringVar(&file)
	cmd.Flag("wait", "Return when the job has ended; at most --timeout.").BoolVar(&wait)
}

// maxJobFileBytes bounds how much is read from a file of jobs or a request body.
const maxJobFileBytes = 64 << 20

func (a *app) readInput(file string) ([]byte, error) {
	in := a.std.In
	// kingpin passes a single - as an empty value.
	if file != "-" && file != "" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usageError{err}
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, maxJobFileBytes))
}

func (a *app) submitFile(ctx context.Context, client *apiclient.Client, file string) error {
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	var jobs struct {
		Job []gateway.JobSpec
	}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&jobs); err != nil {
		return usageError{err}
	}
	results, err := client.SubmitBatch(ctx, jobs.Job)
	if err != nil {
		return err
	}
	var rows []table.Row
	code := ExitOK
	for _, r := range results {
		reason := ""
		if r.Error != nil {
			reason, code = r.Error.Message, ExitRefused
		}
		rows = append(rows, table.Row{r.ID, r.Verdict, reason})
	}
	if err := a.print(results, table.Row{"job", "accepted", "reason"}, rows); err != nil {
		return err
	}
	if code != ExitOK {
		return exitError(code)
	}
	return nil
}
