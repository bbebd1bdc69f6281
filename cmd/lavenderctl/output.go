package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func checkOutput(format string) error {
	if format != outputTable && format != outputJSON {
		return failf(exitUsage, "--output: %q, want table or json", format)
	}
	return nil
}

// print writes v as JSON, or the rows as a table with the given header.
func (o *options) print(v any, header string, rows [][]any) error {
	if o.output == outputJSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return outputError(e.Encode(v))
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return outputError(w.Flush())
}

// outputError converts an error of writing the output to a failure with exit code 1.
func outputError(err error) error {
	if err == nil {
		return nil
	}
	return failf(exitError, "%w", err)
}
