package runner

import (
	"context"
	"io"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/rotisserie/eris"
)

// watchedBody is a response body that reports progress to the stall detector and
// adds a verdict to read errors.
type watchedBody struct {
	body     io.ReadCloser
	detector *stallDetector
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Read implements io.Reader. It returns io.EOF only at the end of the complete
// body; every other error carries verdict.MayHaveRun.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.detector.startTimer()
	n, err := b.body.Read(p)
	switch err {
	case nil:
		b.detector.recordProgress()
		return n, nil
	case io.EOF:
		b.detector.stop()
		return n, io.EOF
	}
	b.detector.stop()
	var stalled *verdict.Error
	if eris.As(context.Cause(b.ctx), &stalled) {
		return n, stalled
	}
	return n, verdict.Wrap(eris.Wrap(err, "read the response body"), verdict.MayHaveRun, CodeAnswerTruncated)
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.detector.stop()
	err := b.body.Close()
	b.cancel(nil)
	return err
}
