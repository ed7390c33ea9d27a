package measure

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotReport writes two SVG files to dir: the use of the cluster and the use of
// each team, both over time.
func plotReport(dir string, r Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "plot directory")
	}
	used := plotter.XYs{}
	teams := map[string]plotter.XYs{}
	for _, p := range r.series {
		used = append(used, plotter.XY{X: p.at, Y: p.used})
		for _, s := range r.Shares {
			teams[s.Team] = append(teams[s.Team], plotter.XY{X: p.at, Y: p.teams[s.Team]})
		}
	}
	if err := writeLinePlot(filepath.Join(dir, r.Example+"-use.svg"), r.Example+": use of the bottleneck resource", []any{"all teams", used}); err != nil {
		return err
	}
	var series []any
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		series = append(series, team, teams[team])
	}
	return writeLinePlot(filepath.Join(dir, r.Example+"-teams.svg"), r.Example+": dominant use by team", series)
}

func writeLinePlot(file, title string, series []any) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", "percent of the cluster"
	p.Y.Min = 0
	if err := plotutil.AddLines(p, series...); err != nil {
		return eris.Wrap(err, file)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), file)
}
