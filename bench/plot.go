package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Sizes of the plot in pixels.
const (
	plotRowHeight  = 22
	plotLabelWidth = 250
	plotWidth      = 560
	plotMargin     = 30
)

// plotLine is one row of the plot. It combines the runs of all seeds with the same fault, variant, preference and load.
type plotLine struct {
	name                 string
	p50, p95, p99, worst float64
	runs                 int
}

// Plot reads JSON lines of ResumeResult and writes an SVG of their waits: p50 to p95 as a bar, p95 to p99 as a line and
// the worst wait as a dot. The quantiles are means over the seeds; the worst wait is the maximum.
func Plot(in io.Reader, out io.Writer) error {
	lines, err := readPlot(in)
	if err != nil {
		return err
	}
	longest := 1.0
	for _, l := range lines {
		longest = max(longest, l.worst)
	}
	var body strings.Builder
	for i, l := range lines {
		l.draw(&body, plotMargin+i*plotRowHeight, plotWidth/longest)
	}
	height := 2*plotMargin + len(lines)*plotRowHeight
	for step := range 5 {
		value := longest * float64(step) / 4
		x := plotLabelWidth + plotWidth*step/4
		fmt.Fprintf(&body, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%.0f ms</text>\n", x, height-8, value)
	}
	_, err = fmt.Fprintf(out, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "+
		"font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"+
		"<text x=\"8\" y=\"18\">Wait of the streams hit: bar p50 to p95, line p99, dot worst</text>\n%s</svg>\n",
		plotLabelWidth+plotWidth+3*plotMargin, height, body.String())
	return err
}

func readPlot(in io.Reader) ([]*plotLine, error) {
	var lines []*plotLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var r ResumeResult
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, err
		}
		if r.Experiment != "resume" || r.Wait.Count == 0 {
			continue
		}
		name := fmt.Sprintf("%s, %s, %s, %.0f %%", r.Fault, r.Variant, r.Preference, 100*r.Load)
		i := slices.IndexFunc(lines, func(l *plotLine) bool { return l.name == name })
		if i < 0 {
			i = len(lines)
			lines = append(lines, &plotLine{name: name})
		}
		lines[i].add(r.Wait)
	}
	return lines, scanner.Err()
}

func (l *plotLine) add(q Quantiles) {
	l.runs++
	n := float64(l.runs)
	l.p50 += (q.P50 - l.p50) / n
	l.p95 += (q.P95 - l.p95) / n
	l.p99 += (q.P99 - l.p99) / n
	l.worst = max(l.worst, q.Worst)
}

func (l *plotLine) draw(w io.Writer, y int, scale float64) {
	x := func(ms float64) float64 { return plotLabelWidth + ms*scale }
	middle := float64(y) + plotRowHeight/2
	_, _ = fmt.Fprintf(w, "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>\n", plotLabelWidth-8, middle+4, l.name)
	_, _ = fmt.Fprintf(w, "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#888\"/>\n",
		x(l.p95), x(l.p99), middle, middle)
	_, _ = fmt.Fprintf(w, "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#4878a8\"/>\n",
		x(l.p50), y+4, max((l.p95-l.p50)*scale, 2), plotRowHeight-8)
	_, _ = fmt.Fprintf(w, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"#b04030\"/>\n", x(l.worst), middle)
}
