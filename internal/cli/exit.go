package cli

import (
	"errors"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/settings"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Exit codes of the binary; docs/cli.md describes them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnavailable = 4
	ExitMayHaveRun  = 5
	ExitConflict    = 6
	ExitWorkFailed  = 7
)

// usageError marks an error in the arguments of a command.
type usageError struct{ error }

// exitError is the exit code of a command whose output has been printed already,
// so that no error is reported.
type exitError int

// Error implements error.
func (e exitError) Error() string { return "the command failed" }

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var code exitError
	var usage usageError
	var objectFaults objects.Faults
	var settingFaults settings.Faults
	var withVerdict *verdict.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &withVerdict):
		return verdictCode(withVerdict)
	case errors.As(err, &objectFaults), errors.As(err, &settingFaults):
		return ExitRefused
	default:
		return ExitFailed
	}
}

func verdictCode(err *verdict.Error) int {
	var remote *apiclient.RemoteError
	switch {
	case err.Code == gateway.CodeConflict:
		return ExitConflict
	case err.Verdict == verdict.MayHaveRun:
		return ExitMayHaveRun
	case err.Verdict == verdict.DidRun:
		return ExitFailed
	case errors.As(err, &remote) && remote.Status < 500 && remote.Status != http.StatusTooManyRequests:
		return ExitRefused
	case err.Code == gateway.CodeBadRequest:
		return ExitRefused
	default:
		return ExitUnavailable
	}
}
