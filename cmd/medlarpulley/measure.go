package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/measure"
)

// runMeasure runs a measurement that starts its entry nodes as processes of
// this binary.
func runMeasure(ctx context.Context, o measure.Options) (measure.Report, error) {
	binary, err := os.Executable()
	if err != nil {
		return measure.Report{}, eris.Wrap(err, "path of the binary")
	}
	o.Binary = binary
	return measure.Run(ctx, o)
}
