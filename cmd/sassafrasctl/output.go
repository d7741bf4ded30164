package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
)

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// print writes v as JSON if the flag --output asks for it. Otherwise it writes the rows that
// table passes to its argument, with aligned columns.
func (t *tool) print(v any, table func(row func(cells ...any))) error {
	if *t.output == "json" {
		return printJSON(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, c)
		}
		_, _ = fmt.Fprintln(w)
	})
	return w.Flush()
}
