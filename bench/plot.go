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

// plotRow is one row of the plot. It combines the runs of all seeds with the same fault, variant, preference and load.
type plotRow struct {
	name                 string
	p50, p95, p99, worst float64
	runs                 int
}

// Plot reads JSON lines of ResumeResult and writes an SVG of their waits: p50 to p95 as a bar, p95 to p99 as a line and
// the worst wait as a dot. The quantiles are means over the seeds; the worst wait is the maximum.
func Plot(in io.Reader, out io.Writer) error {
	rows, err := readPlot(in)
	if err != nil {
		return err
	}
	longest := 1.0
	for _, row := range rows {
		longest = max(longest, row.worst)
	}
	var body strings.Builder
	for i, row := range rows {
		row.draw(&body, plotMargin+i*plotRowHeight, plotWidth/longest)
	}
	height := 2*plotMargin + len(rows)*plotRowHeight
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

func readPlot(in io.Reader) ([]*plotRow, error) {
	var rows []*plotRow
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
		i := slices.IndexFunc(rows, func(row *plotRow) bool { return row.name == name })
		if i < 0 {
			i = len(rows)
			rows = append(rows, &plotRow{name: name})
		}
		rows[i].add(r.Wait)
	}
	return rows, scanner.Err()
}

func (p *plotRow) add(q Quantiles) {
	p.runs++
	n := float64(p.runs)
	p.p50 += (q.P50 - p.p50) / n
	p.p95 += (q.P95 - p.p95) / n
	p.p99 += (q.P99 - p.p99) / n
	p.worst = max(p.worst, q.Worst)
}

func (p *plotRow) draw(w io.Writer, y int, scale float64) {
	x := func(ms float64) float64 { return plotLabelWidth + ms*scale }
	middle := float64(y) + plotRowHeight/2
	_, _ = fmt.Fprintf(w, "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>\n", plotLabelWidth-8, middle+4, p.name)
	_, _ = fmt.Fprintf(w, "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#888\"/>\n",
		x(p.p95), x(p.p99), middle, middle)
	_, _ = fmt.Fprintf(w, "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#4878a8\"/>\n",
		x(p.p50), y+4, max((p.p95-p.p50)*scale, 2), plotRowHeight-8)
	_, _ = fmt.Fprintf(w, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"#b04030\"/>\n", x(p.worst), middle)
}
