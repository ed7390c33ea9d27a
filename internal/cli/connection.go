package cli

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
)

// connection holds the flags for the addresses, the key and the timeout of a
// client.
type connection struct {
	entries []string
	key     string
	keyFile string
	timeout time.Duration
}

func (c *connection) flags(k *kingpin.Application) {
	k.Flag("entry", "Address of an entry node; give several to try the next one when that is safe.").
		Envar("MEDLAR_ENTRY").Default("http://127.0.0.1:8080").StringsVar(&c.entries)
	k.Flag("key", "Key of a team, or the operator token.").Envar("MEDLAR_KEY").StringVar(&c.key)
	k.Flag("key-file", "File that holds the key or token.").Envar("MEDLAR_KEY_FILE").StringVar(&c.keyFile)
	k.Flag("timeout", "Longest time for the command, sent as Medlar-Deadline less a margin; 0 for none. Not for serve, dev, watch and load.").Default("1m").DurationVar(&c.timeout)
}

// options returns the options of a client. An entry, as in MEDLAR_ENTRY, may list
// several addresses separated by commas.
func (c *connection) options() (apiclient.Options, error) {
	o := apiclient.Options{Key: c.key}
	for _, e := range c.entries {
		o.Entries = append(o.Entries, strings.FieldsFunc(e, func(r rune) bool { return r == ',' || r == '\n' || r == ' ' })...)
	}
	if c.keyFile != "" && c.key == "" {
		data, err := os.ReadFile(c.keyFile)
		if err != nil {
			return o, usageError{err}
		}
		o.Key = strings.TrimSpace(string(data))
	}
	return o, nil
}

// client returns a client and a context that ends after the timeout of the
// command.
func (a *app) client() (*apiclient.Client, context.Context, func(), error) {
	a.discardLibraryLogs()
	o, err := a.connect.options()
	if err != nil {
		return nil, nil, nil, err
	}
	client, err := apiclient.New(o)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	if a.connect.timeout <= 0 {
		return client, a.ctx, func() {}, nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.connect.timeout)
	return client, ctx, cancel, nil
}
