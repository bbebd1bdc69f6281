package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// column is a column of the result table.
type column struct {
	name   string
	format string
	value  func(*Result) float64
}

var columns = []column{
	{"idle %", "%.1f", func(r *Result) float64 { return 100 * r.IdleShare }},
	{"steps", "%.0f", func(r *Result) float64 { return float64(r.Steps) }},
	{"stale p50", "%.0f", func(r *Result) float64 { return float64(r.StalenessP50) }},
	{"p99", "%.0f", func(r *Result) float64 { return float64(r.StalenessP99) }},
	{"max", "%.0f", func(r *Result) float64 { return float64(r.StalenessMax) }},
	{"mean", "%.2f", func(r *Result) float64 { return r.StalenessMean }},
	{"callers %", "%.2f", func(r *Result) float64 { return 100 * r.CallersOnTimeShare }},
	{"inverted %", "%.0f", func(r *Result) float64 { return 100 * r.InversionShare }},
	{"prefix %", "%.0f", func(r *Result) float64 { return 100 * r.PrefixHitShare }},
	{"tokens", "%.0f", func(r *Result) float64 { return r.SampleTokens }},
}

// spread returns the lowest value, the median and the highest value over the seeds.
func (r Row) spread(value func(*Result) float64) (low, median, high float64) {
	values := make([]float64, len(r.Results))
	for i, result := range r.Results {
		values[i] = value(result)
	}
	slices.Sort(values)
	n := len(values)
	return values[0], (values[(n-1)/2] + values[n/2]) / 2, values[n-1]
}

// WriteTable writes a table with the median and the range of each column.
func (c Comparison) WriteTable(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%s, %s, %d seeds: median (lowest-highest)\n", c.Deployment, c.Load, c.Seeds); err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := "fault\tpolicy"
	for _, column := range columns {
		line += "\t" + column.name
	}
	_, _ = fmt.Fprintln(t, line)
	for _, row := range c.Rows {
		line := row.Fault + "\t" + row.Name
		for _, column := range columns {
			line += "\t" + row.cell(column.value, column.format)
		}
		_, _ = fmt.Fprintln(t, line)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return c.writeReasons(out)
}

func (r Row) cell(value func(*Result) float64, format string) string {
	low, median, high := r.spread(value)
	text, from, to := fmt.Sprintf(format, median), fmt.Sprintf(format, low), fmt.Sprintf(format, high)
	if from == to {
		return text
	}
	return text + " (" + from + "-" + to + ")"
}

// writeReasons writes the share of requests on time by class, and the numbers of
// refusals and retries by class and reason, as medians over the seeds.
func (c Comparison) writeReasons(out io.Writer) error {
	for _, row := range c.Rows {
		var b strings.Builder
		fmt.Fprintf(&b, "%s/%s: on time %%", row.Fault, row.Name)
		for _, class := range slices.Sorted(maps.Keys(row.Results[0].OnTimeShare)) {
			fmt.Fprintf(&b, " %s %s", class, row.cell(func(r *Result) float64 { return 100 * r.OnTimeShare[class] }, "%.2f"))
		}
		b.WriteString("; refused" + row.reasons(func(r *Result) map[string]int { return r.Refusals }))
		b.WriteString("; retried" + row.reasons(func(r *Result) map[string]int { return r.Retries }))
		if _, err := fmt.Fprintln(out, b.String()); err != nil {
			return err
		}
	}
	return nil
}

func (r Row) reasons(counts func(*Result) map[string]int) string {
	names := make(map[string]bool)
	for _, result := range r.Results {
		for name := range counts(result) {
			names[name] = true
		}
	}
	text := ""
	for _, name := range slices.Sorted(maps.Keys(names)) {
		_, median, _ := r.spread(func(r *Result) float64 { return float64(counts(r)[name]) })
		text += fmt.Sprintf(" %s %.0f", name, median)
	}
	if text == "" {
		return " none"
	}
	return text
}
