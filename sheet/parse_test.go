package sheet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// table is a sheet as rows of cells, so that tests can change single cells.
type table [][]string

var testHeader = []string{
	"kind", "day", "team", "name", "region", "class", "count", "cpu", "memory", "accelerators", "priority", "at", "days", "grace",
	"zones", "retries", "weight", "per_second", "burst", "concurrent", "target", "reason", "note",
}

// validTable returns a sheet without faults. The header is row 1, and the entries
// below are rows 2 to 9.
func validTable() table {
	t := table{slices.Clone(testHeader)}
	for _, r := range []string{
		"kind=team team=a region=lombardy cpu=10 memory=20_GiB weight=2",
		"kind=customer name=c region=veneto",
		"kind=limit name=c class=quote per_second=50 burst=10",
		"kind=service team=a name=web count=2 cpu=0.5 memory=512_MiB zones=lom-monza",
		"kind=batch team=a name=sum count=3 cpu=1 memory=1_GiB at=06:30 days=1_last grace=2h",
		"kind=gang team=a name=all count=2 cpu=2 memory=1_GiB",
		"kind=drain target=rack/lom-monza/r1 reason=power",
		"kind=end count=7",
	} {
		t = append(t, make([]string, len(testHeader)))
		row := len(t)
		for _, f := range strings.Fields(r) {
			col, text, _ := strings.Cut(f, "=")
			t.set(row, col, strings.ReplaceAll(text, "_", " "))
		}
		if !strings.HasPrefix(r, "kind=end") {
			t.set(row, "day", "2026-12-04")
		}
	}
	return t
}

// set changes the cell of a row (from 1) in the column with this header.
func (t table) set(row int, col, text string) { t[row-1][slices.Index(testHeader, col)] = text }

// text returns the table as delimited text, in which every row ends with end.
func (t table) text(delim, end string) string {
	var b strings.Builder
	for _, row := range t {
		for i, c := range row {
			if i > 0 {
				b.WriteString(delim)
			}
			if strings.ContainsAny(c, "\",;\t\r\n") {
				c = `"` + strings.ReplaceAll(c, `"`, `""`) + `"`
			}
			b.WriteString(c)
		}
		b.WriteString(end)
	}
	return b.String()
}

// faultsOf parses text with ritagliOptions and returns its faults.
func faultsOf(t *testing.T, text string) []Fault {
	t.Helper()
	s, err := Parse(strings.NewReader(text), ritagliOptions(t))
	if err == nil {
		t.Fatalf("sheet with a fault was accepted: %+v", s)
	}
	f, ok := FaultsOf(err)
	if !ok || s != nil || errkind.Of(err) != errkind.BadInput {
		t.Fatalf("error is not a list of faults: %v", err)
	}
	return f.List
}

// invalidCells lists single changes to validTable: the cell of row and col is set to
// text, and the fault of that cell has to contain allow in Allowed.
var invalidCells = []struct {
	row              int
	col, text, allow string
}{
	{2, "kind", "taem", "perhaps team"},
	{2, "kind", "", "team, customer, limit"},
	{2, "day", "2026-12-05", "the date of this sheet, 2026-12-04"},
	{2, "day", "12/04/2026", "the date of this sheet"},
	{2, "day", "46360", "YYYY-MM-DD"},
	{2, "day", "", "YYYY-MM-DD"},
	{2, "team", "a/b", "letters of one script"},
	{2, "team", "кoманда", "letters of one script"},
	{2, "team", "", "kind team needs team"},
	{2, "region", "tuscany", "[lombardy veneto]"},
	{2, "cpu", "#REF!", "formula"},
	{2, "cpu", "#RIF!", "formula"},
	{2, "cpu", "#ЗНАЧ!", "formula"},
	{2, "cpu", "#N/A", "formula"},
	{2, "cpu", "#DIV/0!", "formula"},
	{2, "cpu", "Err:502", "formula"},
	{2, "cpu", "########", "formula"},
	{2, "cpu", "=A1*2", "formula"},
	{2, "cpu", "-1", "above 0"},
	{2, "cpu", "0", "above 0"},
	{2, "cpu", "10 kg", "thousandths such as 500m"},
	{2, "cpu", "1.500", "cores as a number"},
	{2, "cpu", "1e3", "cores as a number"},
	{2, "cpu", "NaN", "cores as a number"},
	{2, "memory", "20", "unit MiB"},
	{2, "memory", "-20 GiB", "above 0"},
	{2, "memory", "20 cores", "unit MiB"},
	{2, "memory", "99999999999999 TiB", "unit MiB"},
	{2, "weight", "0", "whole number from 1 to 10000"},
	{2, "accelerators", "1,5", "whole number from 0"},
	{2, "at", "06:00", "kind team has no at"},
	{4, "name", "nobody", "a row of kind customer"},
	{4, "class", "quotes", "valuation, reconciliation, batch, quote, nudge, *"},
	{4, "per_second", "-1", "at least 0"},
	{4, "per_second", "5/fortnight", "3000/min"},
	{4, "burst", "many", "whole number"},
	{5, "team", "b", "a row of kind team"},
	{5, "team", "A", "upper and lower case"},
	{5, "count", "-2", "whole number from 1 to 10000"},
	{5, "count", "2.5", "whole number"},
	{5, "count", "10001", "whole number from 1 to 10000"},
	{5, "count", "1000", "quota of team a"},
	{5, "cpu", "17", "largest worker"},
	{5, "memory", "33 GiB", "largest worker"},
	{5, "accelerators", "1", "largest worker"},
	{5, "priority", "asap", "low, normal, high, urgent"},
	{5, "priority", "101", "0 to 100"},
	{5, "zones", "lom-milano", "zones of the deployment"},
	{5, "zones", "ven-treviso", "home of team a"},
	{5, "zones", "lom-monza lom-monza", "different zones"},
	{5, "retries", "101", "0 to 100"},
	{5, "grace", "1h", "kind service has no grace"},
	{6, "at", "24:00", "HH:MM"},
	{6, "at", "", "kind batch needs at"},
	{6, "grace", "", "kind batch needs grace"},
	{6, "grace", "0m", "above 0 and at most 31d"},
	{6, "grace", "2 weeks", "unit s, m"},
	{6, "grace", "-1h", "above 0"},
	{6, "days", "32", "from 1 to 31 or last"},
	{6, "days", "1 1", "days of the month"},
	{6, "cpu", "12", "quota of team a"},
	{7, "days", "1", ""}, // reported for the missing start time; see TestInvalidCellIsReported
	{7, "count", "6", "quota of team a"},
	{8, "target", "zone/milano", "a zone of the deployment"},
	{8, "target", "rack/lom-monza", "a zone of the deployment"},
	{8, "reason", "", "kind drain needs reason"},
	{9, "count", "8", "7, the number of rows"},
	{9, "count", "", "kind end needs count"},
}

// Guards against an invalid cell that is accepted, reported at another cell, or
// reported without its text and what is allowed.
func TestInvalidCellIsReported(t *testing.T) {
	for _, c := range invalidCells {
		tab := validTable()
		tab.set(c.row, c.col, c.text)
		if c.allow == "" {
			c.col, c.text, c.allow = "at", "", "days and grace need a start time"
		}
		faults := faultsOf(t, tab.text(",", "\n"))
		column := columnLetters(slices.Index(testHeader, c.col))
		ok := slices.ContainsFunc(faults, func(f Fault) bool {
			return f.Row == c.row && f.Column == column && f.Header == c.col && f.Found == c.text && strings.Contains(f.Allowed, c.allow)
		})
		if !ok {
			t.Errorf("row %d, %s = %q: want a fault that allows %q, got %v", c.row, c.col, c.text, c.allow, faults)
		}
	}
}

// Guards against accepting a sheet with a fault of the whole file or one that shows
// only when rows are compared.
func TestFileAndCrossRowFaults(t *testing.T) {
	valid := validTable().text(",", "\n")
	edit := func(fn func(table) table) string { return fn(validTable()).text(",", "\n") }
	duplicateRow := func(row int) func(table) table {
		return func(t table) table {
			t = slices.Insert(t, len(t)-1, slices.Clone(t[row-1]))
			t.set(len(t), "count", fmt.Sprint(len(t)-2))
			return t
		}
	}
	for name, c := range map[string]struct {
		text, found, allow string
		row                int
	}{
		"empty file":                 {"", "an empty file", "a header row", 0},
		"only blanks and separators": {"\ufeff \r\n;;;\r\n", "no column kind", "a header row", 2},
		"workbook":                   {"PK\x03\x04\x00", "a zero byte", "export as CSV UTF-8", 0},
		"Windows encoding":           {strings.Replace(valid, "power", "perch\xe9", 1), "perch?", "UTF-8", 8},
		"no end row":                 {valid[:strings.Index(valid, "end")], "the end of the file", "looks truncated", 9},
		"unclosed quote":             {valid[:strings.Index(valid, "power")] + "\"power", "power", "a closing quote", 8},
		"text after quote":           {strings.Replace(valid, "power", `"po"wer`, 1), "wer", "closing quote", 8},
		"duplicate team":             {edit(duplicateRow(2)), "a", "row 2 has it already", 9},
		"duplicate intention, other case": {edit(func(tab table) table {
			tab = duplicateRow(5)(tab)
			tab.set(9, "name", "Web")
			return tab
		}), "a/Web", "row 5 has it already", 9},
		"duplicate limit": {edit(duplicateRow(4)), "c/quote", "row 4 has it already", 9},
		"duplicate drain": {edit(duplicateRow(8)), "rack/lom-monza/r1", "row 8 has it already", 9},
		"services above quota": {edit(func(tab table) table {
			tab = duplicateRow(5)(tab)
			tab.set(9, "name", "web2")
			tab.set(9, "count", "19")
			return tab
		}), "19", "the services up to this row need", 9},
		"drain inside a drained zone": {edit(func(tab table) table {
			tab = duplicateRow(8)(tab)
			tab.set(9, "target", "zone/lom-monza")
			return tab
		}), "rack/lom-monza/r1", "drained whole by another row", 8},
		"service in a drained zone": {edit(func(tab table) table { tab.set(8, "target", "zone/lom-monza"); return tab }),
			"lom-monza", "no drain row empties", 5},
		"whole region drained": {edit(func(tab table) table { tab.set(8, "target", "zone/ven-treviso"); return tab }),
			"zone/ven-treviso", "at least one zone of region veneto", 8},
		"unknown column":                    {strings.Replace(valid, "retries", "retrys", 1), "retrys", "perhaps retries", 1},
		"repeated column":                   {strings.Replace(valid, "retries", "zones", 1), "zones", "each column once", 1},
		"no column day":                     {strings.Replace(valid, "day", "note", 1), "no column day", "columns kind and day", 1},
		"cell without header":               {strings.Replace(valid, "power,", "power,,,x", 1), "x", "the column has no header", 8},
		"row after end":                     {valid + strings.Split(valid, "\n")[1] + "\n", "a row after the end row", "nothing after", 10},
		"burst without rate":                {edit(func(tab table) table { tab.set(4, "per_second", "0"); return tab }), "10", "a burst needs", 4},
		"limit without rate or concurrency": {edit(func(tab table) table { tab.set(4, "per_second", ""); return tab }), "", "needs per_second or concurrent", 4},
	} {
		ok := slices.ContainsFunc(faultsOf(t, c.text), func(f Fault) bool {
			return f.Row == c.row && f.Found == c.found && strings.Contains(f.Allowed, c.allow)
		})
		if !ok {
			t.Errorf("%s: want row %d, found %q, allowed %q; got %v", name, c.row, c.found, c.allow, faultsOf(t, c.text))
		}
	}
}

// Guards against a report that stops at the first fault or has a fault twice.
func TestAllFaultsReportedTogether(t *testing.T) {
	tab := validTable()
	want := [][3]string{{"2", "cpu", "-1"}, {"2", "memory", "5 kg"}, {"3", "day", "2026-12-05"}, {"4", "class", "x"},
		{"6", "at", "25:00"}, {"6", "grace", "#REF!"}, {"7", "count", "0"}, {"9", "count", "3"}}
	for _, w := range want {
		tab.set(int(w[0][0]-'0'), w[1], w[2])
	}
	var got [][3]string
	for _, f := range faultsOf(t, tab.text(";", "\r\n")) {
		got = append(got, [3]string{fmt.Sprint(f.Row), f.Header, f.Found})
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("faults (-want +got):\n%s", d)
	}
}

// Guards against a result that depends on the export format: the order of columns,
// separators, line ends, quotes, byte-order mark, empty rows and spelling of values.
func TestExportFormatsParseAlike(t *testing.T) {
	want, err := Parse(strings.NewReader(validTable().text(",", "\n")), ritagliOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 200 {
		tab := validTable()
		tab.set(2, "note", "two\r\nlines, \"quoted\"; and\ttabs")
		tab.set(5, "cpu", []string{"0.5", "0,5", "500m", " 0,50 cores\u00a0"}[i%4])
		tab.set(6, "memory", []string{"1 GiB", "1024MiB", "1,0 GiB", "1073.741824 MB"}[i/4%4])
		tab.set(3, "day", []string{"2026-12-04", "04/12/2026", "4.12.2026"}[i%3])
		tab.set(6, "at", []string{"06:30", "6:30", "06.30", "06:30:00"}[i/16%4])
		order := rng.Perm(len(testHeader))
		for n, row := range tab {
			shuffled := make([]string, 0, len(row))
			for _, col := range order {
				shuffled = append(shuffled, row[col])
			}
			tab[n] = append(shuffled, make([]string, rng.IntN(3))...)
		}
		tab = append(tab, make([]string, rng.IntN(9)), nil, make([]string, 2))
		text := tab.text([]string{",", ";", "\t"}[i%3], []string{"\n", "\r\n"}[i%2])
		if i%2 == 0 {
			text = `"` + tab[0][0] + `"` + text[len(tab[0][0]):]
		}
		if i%5 == 0 {
			text = strings.Repeat("\r\n", i%3) + text
		}
		if i%4 < 2 {
			text = "\ufeff" + text
		}
		got, err := Parse(strings.NewReader(text), ritagliOptions(t))
		if err != nil {
			t.Fatalf("%q:\n%v", text, err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("%q (-want +got):\n%s", text, d)
		}
	}
}

// Guards against values that are read with a wrong unit.
func TestParseUnits(t *testing.T) {
	s, err := Parse(strings.NewReader(validTable().text(",", "\n")), ritagliOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	web, sum := s.Content.Intentions["a/web"], s.Content.Intentions["a/sum"]
	if web.Job.Resources != (machine.Resources{CPUMilli: 500, MemoryMiB: 512}) || web.Job.Priority != workload.Normal || web.Job.Count != 2 {
		t.Errorf("service %+v, want 500m and 512 MiB, normal priority and 2 tasks", web)
	}
	if sum.StartTime != "06:30" || sum.Grace.Hours() != 2 || !slices.Equal(sum.Days, []int{1, config.LastDay}) {
		t.Errorf("batch %+v, want a start at 06:30, 2 h of grace and the days 1 and last", sum)
	}
	if l := s.Content.Customers["c"].Limits["quote"]; l != (config.Limit{PerSecond: 50, Burst: 10}) {
		t.Errorf("limit %+v, want 50 per second and a burst of 10", l)
	}
}

// Guards against a truncated file, such as a broken transfer leaves, that is accepted
// as a shorter sheet. The file is cut at every byte before the end of the count.
func TestTruncatedFileIsRejected(t *testing.T) {
	for _, path := range []string{"../examples/ritagli.csv", "../examples/ortaq-eske.csv"} {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		opts := ritagliOptions(t)
		if strings.Contains(path, "ortaq") {
			opts = ortaqOptions(t)
		}
		end := strings.LastIndex(string(data), "end")
		count := strings.IndexAny(string(data[end:]), "0123456789") + end + 2 // both digits of the count
		for cut := range count {
			if _, err := Parse(strings.NewReader(string(data[:cut])), opts); err == nil {
				t.Fatalf("%s cut to %d of %d bytes was accepted", path, cut, len(data))
			}
		}
	}
}

// FuzzParse guards against input that makes Parse panic, a fault without what is
// allowed or with a row outside of the file, and an accepted sheet whose changes the
// configuration would reject.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../examples/ritagli.csv", "../examples/ortaq-eske.csv"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	valid := validTable().text(";", "\r\n")
	f.Add(valid)
	f.Add("sep=;\n" + valid)
	f.Add("kind,day\n\"")
	f.Add("kind,day\nend,\"a\"b\"\r\r\n,=#REF!")
	opts := ritagliOptions(f)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(strings.NewReader(text), opts)
		if err != nil {
			faults, ok := FaultsOf(err)
			if !ok || len(faults.List) == 0 || s != nil {
				t.Fatalf("error holds no faults: %v", err)
			}
			for _, fault := range faults.List {
				if fault.Allowed == "" || fault.Row < 0 || fault.Row > strings.Count(text, "\n")+strings.Count(text, "\r")+2 {
					t.Fatalf("fault has no Allowed or a row outside of the file: %+v", fault)
				}
			}
			return
		}
		for _, o := range Diff(s, &config.State{}).Ops {
			if err := o.Validate(); err != nil {
				t.Fatalf("change of an accepted sheet is invalid: %v", err)
			}
		}
	})
}
