package bench

import (
	"encoding/xml"
	"fmt"
	"io"
)

// Sizes of the plot, in pixels.
const (
	plotLabelWidth   = 210 // column of row labels
	plotPanelWidth   = 240
	plotPanelGap     = 30 // between two panels
	plotRowHeight    = 22
	plotHeaderHeight = 50 // title and panel names
	plotMargin       = 20
)

type svg struct {
	XMLName xml.Name `xml:"svg"`
	XMLNS   string   `xml:"xmlns,attr"`
	Width   int      `xml:"width,attr"`
	Height  int      `xml:"height,attr"`
	Texts   []svgText
	Bars    []svgRect
	Ranges  []svgLine
}

type svgText struct {
	XMLName xml.Name `xml:"text"`
	X       float64  `xml:"x,attr"`
	Y       float64  `xml:"y,attr"`
	Size    int      `xml:"font-size,attr"`
	Font    string   `xml:"font-family,attr"`
	Text    string   `xml:",chardata"`
}

type svgRect struct {
	XMLName xml.Name `xml:"rect"`
	X       float64  `xml:"x,attr"`
	Y       float64  `xml:"y,attr"`
	Width   float64  `xml:"width,attr"`
	Height  float64  `xml:"height,attr"`
	Fill    string   `xml:"fill,attr"`
}

type svgLine struct {
	XMLName xml.Name `xml:"line"`
	X1      float64  `xml:"x1,attr"`
	Y1      float64  `xml:"y1,attr"`
	X2      float64  `xml:"x2,attr"`
	Y2      float64  `xml:"y2,attr"`
	Stroke  string   `xml:"stroke,attr"`
}

// plottedColumns are the names of the columns that get a panel in the plot.
var plottedColumns = []string{"idle %", "mean", "callers %"}

// WritePlot writes a bar chart as SVG. It has a panel for each plotted column. In a
// panel, the bar of a policy shows the median and a line shows the range over the
// seeds.
func (c Comparison) WritePlot(out io.Writer) error {
	p := svg{
		XMLNS: "http://www.w3.org/2000/svg", Width: plotLabelWidth + len(plottedColumns)*(plotPanelWidth+plotPanelGap) + plotMargin,
		Height: plotHeaderHeight + len(c.Rows)*plotRowHeight + plotMargin,
	}
	p.text(plotMargin, 18, 14, fmt.Sprintf("%s, %s load, %d seeds", c.Deployment, c.Load, c.Seeds))
	for i, row := range c.Rows {
		p.text(plotMargin, float64(plotHeaderHeight+i*plotRowHeight+15), 11, row.Fault+" / "+row.Name)
	}
	for i, name := range plottedColumns {
		for _, column := range columns {
			if column.name == name {
				p.panel(c.Rows, column, float64(plotLabelWidth+i*(plotPanelWidth+plotPanelGap)))
			}
		}
	}
	if _, err := io.WriteString(out, xml.Header); err != nil {
		return err
	}
	return xml.NewEncoder(out).Encode(p)
}

func (p *svg) text(x, y float64, size int, text string) {
	p.Texts = append(p.Texts, svgText{X: x, Y: y, Size: size, Font: "sans-serif", Text: text})
}

func (p *svg) panel(rows []Row, column column, x float64) {
	top := 0.0
	for _, row := range rows {
		_, _, high := row.spread(column.value)
		top = max(top, high)
	}
	if top == 0 {
		top = 1
	}
	scale := plotPanelWidth / top * 0.85 // the rest is room for the number
	p.text(x, plotHeaderHeight-8, 12, column.name)
	for i, row := range rows {
		low, median, high := row.spread(column.value)
		y := float64(plotHeaderHeight + i*plotRowHeight)
		p.Bars = append(p.Bars, svgRect{X: x, Y: y + 3, Width: median * scale, Height: plotRowHeight - 8, Fill: "#7da7d9"})
		middle := y + plotRowHeight/2 - 1
		p.Ranges = append(p.Ranges, svgLine{X1: x + low*scale, Y1: middle, X2: x + high*scale, Y2: middle, Stroke: "#222222"})
		p.text(x+high*scale+4, y+15, 10, fmt.Sprintf(column.format, median))
	}
}
