package worker

import (
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Command is what a stand-in task does. Its text form is a URL query, for
// example "run=200ms&exit=fail".
type Command struct {
	// Run is how long the task runs; zero runs until it is stopped.
	Run time.Duration
	// Fail makes the task end with an error.
	Fail bool
	// FailFirst is the number of attempts that fail before one succeeds.
	FailFirst int
}

// ParseCommand returns the command for its text form.
func ParseCommand(s string) (Command, error) {
	var c Command
	values, err := url.ParseQuery(s)
	if err != nil {
		return c, eris.Wrapf(err, "command %q", s)
	}
	if run := values.Get("run"); run != "" {
		if c.Run, err = time.ParseDuration(run); err != nil {
			return c, eris.Wrapf(err, "command %q", s)
		}
	}
	if n := values.Get("fail_first"); n != "" {
		if c.FailFirst, err = strconv.Atoi(n); err != nil {
			return c, eris.Wrapf(err, "command %q", s)
		}
	}
	c.Fail = values.Get("exit") == "fail"
	return c, nil
}
