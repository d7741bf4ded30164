package sheet

import (
	"fmt"
	"sort"
	"strings"
)

// maxFaults bounds the number of faults that are kept, for files that are no sheet at all.
const maxFaults = 10_000

// Fault is one error in a sheet.
type Fault struct {
	Row     int    `json:"row"`     // as a spreadsheet shows it, from 1; 0 for a fault of the whole file
	Column  string `json:"column"`  // letters as a spreadsheet shows them; empty for a fault of the whole row
	Header  string `json:"name"`    // name of the column
	Found   string `json:"found"`   // text of the cell, shortened, or what is wrong
	Allowed string `json:"allowed"` // what is allowed instead
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

// Faults is the error that Parse returns: the faults of a sheet by row and column.
type Faults struct {
	List    []Fault `json:"faults"`
	Dropped int     `json:"dropped,omitempty"` // number of faults beyond the first 10,000, which are not in List
}

// Error implements error with one fault per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List)+1)
	for _, fault := range f.List {
		lines = append(lines, fault.String())
	}
	if f.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more faults", f.Dropped))
	}
	return strings.Join(lines, "\n")
}

// add appends a fault, or counts it in Dropped if maxFaults are kept already. row 0 is
// the whole file; col is a column index, -1 is the whole row; name is that of the column.
func (f *Faults) add(row, col int, name, found, allowed string) {
	if len(f.List) >= maxFaults {
		f.Dropped++
		return
	}
	f.List = append(f.List, Fault{row, columnLetters(col), name, found, allowed})
}

// sort orders the faults by row and column. Shorter column letters come first, as in
// a spreadsheet.
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

// columnLetters returns the letters of a column index: A for 0, Z for 25, AA for 26,
// and "" for a negative index.
func columnLetters(col int) string {
	var out string
	for ; col >= 0; col = col/26 - 1 {
		out = string(rune('A'+col%26)) + out
	}
	return out
}
