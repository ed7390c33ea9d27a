package cli

import (
	"io"
	"os"
)

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
