package worker

import (
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Command is what a simulated task does. Its text form is a URL query, for example
// "run=200ms&exit=fail".
type Command struct {
	// Run is how long the task runs; zero means until it is stopped.
	Run time.Duration
	// Fail makes the task end with an error.
	Fail bool
	// FailFirst is the number of first attempts that fail.
	FailFirst int
}

// ParseCommand parses the text form of a command. It returns an error if the text
// is not a URL query or one of its values is invalid.
func ParseCommand(s string) (Command, error) {
	var c Command
	values, err := url.ParseQuery(s)
	if err != nil {
		return c, eris.Wrapf(err, "parse command %q", s)
	}
	if run := values.Get("run"); run != "" {
		if c.Run, err = time.ParseDuration(run); err != nil {
			return c, eris.Wrapf(err, "parse command %q", s)
		}
	}
	if n := values.Get("fail_first"); n != "" {
		if c.FailFirst, err = strconv.Atoi(n); err != nil {
			return c, eris.Wrapf(err, "parse command %q", s)
		}
	}
	c.Fail = values.Get("exit") == "fail"
	return c, nil
}
