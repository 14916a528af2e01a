package report

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// Size of the chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
)

// Chart writes the requests per version over time as SVG.
func (r *Report) Chart(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Requests of " + r.Service + " by version"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	p.Legend.Top = true
	byVersion := make(map[string]plotter.XYs)
	for _, point := range r.Series {
		xy := plotter.XY{X: float64(point.At.Unix()), Y: float64(point.Requests)}
		byVersion[point.Version] = append(byVersion[point.Version], xy)
	}
	for i, version := range slices.Sorted(maps.Keys(byVersion)) {
		line, err := plotter.NewLine(byVersion[version])
		if err != nil {
			return fmt.Errorf("line of version %q: %w", version, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(version, line)
	}
	to, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return fmt.Errorf("chart of %q: %w", r.Service, err)
	}
	if _, err := to.WriteTo(w); err != nil {
		return fmt.Errorf("write chart of %q: %w", r.Service, err)
	}
	return nil
}
