package app

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/figures"
	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
	"github.com/tamarackstep/tamarackstep/cli/internal/plotting"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
)

// reportFigures computes the figures of the logs that the command names, and draws
// them if it asks for a plot.
func reportFigures(c command.Report, stdin io.Reader, origin render.Origin) render.Report {
	logs, err := logread.Open(c.Logs, stdin)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	defer logs.Close()
	report := render.Figures{Origin: origin, SVG: c.SVG}
	collector := figures.NewCollector()
	report.Files = logs.Visit(func(e logline.Event) {
		if report.First.At.IsZero() {
			report.First = e
		}
		collector.Add(e)
	})
	report.Figures = collector.Figures()
	if c.SVG == "" {
		return report
	}
	if err := writePlot(c.SVG, report.Figures, zeroOf(report.First)); err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	return report
}

// zeroOf returns the time from which a plot counts seconds: that of the simulated
// day, or that of the first line.
func zeroOf(first logline.Event) time.Time {
	if first.Simulated {
		return first.At.Add(-first.SimTime)
	}
	return first.At
}

func writePlot(file string, f figures.Figures, zero time.Time) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(plotting.WriteSVG(out, f, zero), out.Close())
}
