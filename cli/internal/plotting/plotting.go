// Package plotting draws the figures of a day as an SVG.
package plotting

import (
	"image/color"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/tamarackstep/tamarackstep/cli/internal/figures"
)

const (
	width       = 24 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	leadWidth   = 3 * vg.Millimeter
	maxLegend   = 12 // hosts in the legend of leaders
)

// WriteSVG draws starts, refusals, the queue, waits and leaders over time. Times are
// seconds since zero.
func WriteSVG(w io.Writer, f figures.Figures, zero time.Time) error {
	errorBuilder := oops.In("plotting").With("step", "draw figures")
	seconds := func(at time.Time) float64 { return at.Sub(zero).Seconds() }
	starts, err := newSeriesPlot("starts and refusals per interval of "+f.BucketWidth.String(), f, seconds,
		series{"starts ordered", func(b figures.Bucket) float64 { return float64(b.Starts) }},
		series{"requests refused", func(b figures.Bucket) float64 { return float64(b.Refusals) }})
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	waits, err := newSeriesPlot("jobs that wait for their first start, and the worst wait in s", f, seconds,
		series{"jobs waiting", func(b figures.Bucket) float64 { return float64(b.Queue) }},
		series{"worst wait, s", func(b figures.Bucket) float64 { return b.WorstWait.Seconds() }})
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	leaders, err := newLeaderPlot(f, seconds)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	panels := []*plot.Plot{starts, waits, leaders}
	for _, p := range panels {
		p.X.Min, p.X.Max = seconds(f.From), seconds(f.To)
	}
	_, err = drawPanels(panels).WriteTo(w)
	return errorBuilder.Wrap(err)
}

func drawPanels(panels []*plot.Plot) *vgsvg.Canvas {
	canvas := vgsvg.New(width, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: 3 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 5 * vg.Millimeter}
	grid := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		grid[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		panels[i].Draw(row[0])
	}
	return canvas
}

// series is one line of a plot over the intervals of the day.
type series struct {
	name  string
	value func(figures.Bucket) float64
}

func newSeriesPlot(title string, f figures.Figures, seconds func(time.Time) float64, list ...series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "s"
	p.Y.Min, p.Legend.Top = 0, true
	for i, s := range list {
		points := plotter.XYs{{X: seconds(f.From)}}
		for _, b := range f.Buckets {
			points = append(points, plotter.XY{X: seconds(b.At), Y: s.value(b)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.StepStyle, line.Color = plotter.PostStep, plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p, nil
}

// newLeaderPlot draws one row for each shard with the hosts that led it.
func newLeaderPlot(f figures.Figures, seconds func(time.Time) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Legend.Top = "leader of each shard", "s", true
	rows, colors := make(map[string]int), make(map[string]color.Color)
	for _, lead := range f.Leads {
		rows[lead.Shard] = 0
	}
	names := slices.Sorted(maps.Keys(rows))
	for i, name := range names {
		rows[name] = i
	}
	for _, lead := range f.Leads {
		y := float64(rows[lead.Shard])
		line, err := plotter.NewLine(plotter.XYs{{X: seconds(lead.From), Y: y}, {X: seconds(lead.To), Y: y}})
		if err != nil {
			return nil, err
		}
		if colors[lead.Host] == nil {
			colors[lead.Host] = plotutil.Color(len(colors))
			if len(colors) <= maxLegend {
				p.Legend.Add(lead.Host, line)
			}
		}
		line.Width, line.Color = leadWidth, colors[lead.Host]
		p.Add(line)
	}
	if len(names) > 0 {
		p.NominalY(names...)
	}
	p.Y.Min, p.Y.Max = -1, float64(len(names))
	return p, nil
}
