package sheet

import (
	"fmt"
	"sort"
	"strings"
)

// maxFaults bounds the report of a file that is not a sheet at all.
const maxFaults = 10_000

// Fault is one thing that is wrong with a sheet.
type Fault struct {
	Row     int    `json:"row"`    // as a spreadsheet shows it, from 1; 0 is the file as a whole
	Column  string `json:"column"` // letter as a spreadsheet shows it; empty is the row as a whole
	Header  string `json:"name"`   // header of the column
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	where := "file"
	if f.Row > 0 {
		where = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		where += ", column " + f.Column
	}
	if f.Header != "" {
		where += " (" + f.Header + ")"
	}
	return fmt.Sprintf("%s: found %q, allowed: %s", where, f.Found, f.Allowed)
}

// Faults is every fault of a sheet, in the order of rows and columns.
type Faults struct {
	List    []Fault `json:"faults"`
	Dropped int     `json:"dropped,omitempty"` // faults beyond the first 10,000
}

// Error implements error with one fault per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List)+1)
	for _, one := range f.List {
		lines = append(lines, one.String())
	}
	if f.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more faults", f.Dropped))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(row, col int, name, found, allowed string) {
	if len(f.List) >= maxFaults {
		f.Dropped++
		return
	}
	f.List = append(f.List, Fault{row, columnLetters(col), name, found, allowed})
}

func (f *Faults) sort() {
	sort.SliceStable(f.List, func(i, j int) bool {
		a, b := f.List[i], f.List[j]
		if a.Row != b.Row {
			return a.Row < b.Row
		}
		if len(a.Column) != len(b.Column) {
			return len(a.Column) < len(b.Column)
		}
		return a.Column < b.Column
	})
}

// columnLetters returns A for 0, Z for 25, AA for 26, and nothing below 0.
func columnLetters(col int) string {
	var out string
	for ; col >= 0; col = col/26 - 1 {
		out = string(rune('A'+col%26)) + out
	}
	return out
}
