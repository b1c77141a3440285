package bench

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// plotRouted plots worth and longest pauses over time, one above the other, with
// a line at the start of the fault. The extension of the path determines the
// format.
func plotRouted(path, title string, windows []routedWindow, faultAt time.Duration) error {
	var worth, pauses, calls plotter.XYs
	for _, w := range windows {
		x := w.begin.Seconds()
		worth = append(worth, plotter.XY{X: x, Y: w.worth})
		if w.streams > 0 {
			pauses = append(pauses, plotter.XY{X: x, Y: float64(w.longestPause.Milliseconds())})
		}
		calls = append(calls, plotter.XY{X: x, Y: float64(w.longestCall.Milliseconds())})
	}
	above := plot.New()
	above.Title.Text, above.Y.Label.Text = title, "worth"
	above.Y.Min, above.Y.Max = 0, 1.05
	below := plot.New()
	below.X.Label.Text, below.Y.Label.Text = "begin of the requests, s", "longest, ms"
	below.Y.Min = 0
	if err := addLines(above, []namedLine{{"", worth}}, faultAt); err != nil {
		return err
	}
	if err := addLines(below, []namedLine{{"pause of a stream", pauses}, {"call", calls}}, faultAt); err != nil {
		return err
	}
	below.Legend.Top = true
	return writePlots(path, above, below)
}

type namedLine struct {
	name   string
	points plotter.XYs
}

func addLines(p *plot.Plot, lines []namedLine, faultAt time.Duration) error {
	p.Add(plotter.NewGrid())
	top := p.Y.Max
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(l.points)
		if err != nil {
			return err
		}
		if i > 0 { // dashes of length 0 send the image renderer into an infinite loop
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(line, points)
		if l.name != "" {
			p.Legend.Add(l.name, line, points)
		}
		for _, point := range l.points {
			top = max(top, point.Y)
		}
	}
	fault, err := plotter.NewLine(plotter.XYs{{X: faultAt.Seconds(), Y: 0}, {X: faultAt.Seconds(), Y: top}})
	if err != nil {
		return err
	}
	fault.Width = vg.Points(2)
	p.Add(fault)
	return nil
}

// writePlots writes plots of equal width, one above the other.
func writePlots(path string, plots ...*plot.Plot) error {
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return err
	}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: 4 * vg.Millimeter}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close() // the first error is returned
		return err
	}
	return file.Close()
}
