package runner

import (
	"context"
	"io"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/rotisserie/eris"
)

// watchedBody reports progress to the watch and gives errors a verdict.
type watchedBody struct {
	body   io.ReadCloser
	watch  *watch
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watch.expect()
	n, err := b.body.Read(p)
	switch err {
	case nil:
		b.watch.progress()
		return n, nil
	case io.EOF:
		b.watch.stop()
		return n, io.EOF
	}
	b.watch.stop()
	var silent *verdict.Error
	if eris.As(context.Cause(b.ctx), &silent) {
		return n, silent
	}
	return n, verdict.Wrap(eris.Wrap(err, "body of an answer"), verdict.MayHaveRun, CodeTruncated)
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.watch.stop()
	err := b.body.Close()
	b.cancel(nil)
	return err
}
