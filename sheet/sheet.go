// Package sheet parses the morning sheet: the CSV file that planners export from a
// spreadsheet each day, with the customers, teams, intentions and drains of that day.
// It reports all faults of a sheet together and shows what the sheet would change.
package sheet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"golang.org/x/text/unicode/norm"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Options holds what a sheet is checked against, and its limits.
type Options struct {
	Day           string            // required; local date that the rows must carry, "2006-01-02"
	Topology      *zone.Topology    // required; the regions and zones of the deployment
	LargestWorker machine.Resources // size of the largest worker; a larger task is a fault. Zero skips the check.
	MaxBytes      int64             // default 16 MiB
	MaxRows       int               // default 100,000
}

// Sheet is the parsed content of a sheet, which holds for one day.
type Sheet struct {
	Day     string // local date, "2006-01-02"
	Rows    int    // rows before the end row, without the header and empty rows
	Content config.Content
}

// Parse reads and checks a whole sheet. If it has faults, Parse returns no sheet and
// an error of kind errkind.BadInput that holds every fault, up to 10,000 (see
// FaultsOf). Invalid options and a failed read are errors of kind errkind.BadInput too.
func Parse(r io.Reader, opts Options) (*Sheet, error) {
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = 16 << 20
	}
	if opts.MaxRows <= 0 {
		opts.MaxRows = 100_000
	}
	if day, ok := parseDay(opts.Day); !ok || day != opts.Day || opts.Topology == nil {
		return nil, errkind.New(errkind.BadInput, "sheet_options", "Day must be YYYY-MM-DD, got %q, and Topology is required", opts.Day)
	}
	data, err := io.ReadAll(io.LimitReader(r, opts.MaxBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadInput, "sheet_read", err)
	}
	p := &parser{opts: opts, firstRow: make(map[string]int), exactKeys: make(map[string]bool), sheet: Sheet{Day: opts.Day, Content: config.Content{
		Customers: make(map[string]config.Customer), Teams: make(map[string]config.Team),
		Intentions: make(map[string]config.Intention), Drains: make(map[string]config.Drain),
	}}}
	if p.checkFile(data) {
		p.parse(string(data))
	}
	if len(p.faults.List) > 0 {
		p.faults.sort()
		return nil, errkind.Wrap(errkind.BadInput, "sheet_faults", &p.faults)
	}
	return &p.sheet, nil
}

// FaultsOf returns the faults in an error of Parse. It returns nil and false for an
// error of another cause, such as a failed read.
func FaultsOf(err error) (*Faults, bool) {
	var f *Faults
	ok := errors.As(err, &f)
	return f, ok
}

// parser holds the state of one call of Parse.
type parser struct {
	opts          Options
	faults        Faults
	sheet         Sheet
	header        []string        // column name by column index; empty if unknown
	columnIndex   map[string]int  // column index by column name
	firstRow      map[string]int  // first row that used a key, by kind and key in lower case; see checkUnique
	exactKeys     map[string]bool // kinds and keys in their exact spelling; see checkUnique
	intentionRows []intentionRow
	limitRows     []row // of kind limit
	drainRows     []row // of kind drain with a valid target
	endSeen       bool  // the end row was read
}

// intentionRow is a row that declares an intention, kept for the checks across rows.
type intentionRow struct {
	row
	key string // config.IntentionKey of the row
}

// checkFile reports faults that make it pointless to parse rows, and returns false if
// there is one.
func (p *parser) checkFile(data []byte) bool {
	fault := func(found, allowed string) bool {
		p.faults.add(0, -1, "", found, allowed)
		return false
	}
	switch {
	case int64(len(data)) > p.opts.MaxBytes:
		return fault(fmt.Sprintf("more than %d bytes", p.opts.MaxBytes), fmt.Sprintf("at most %d bytes", p.opts.MaxBytes))
	case len(strings.Trim(string(data), spaces)) == 0:
		return fault("an empty file", "a header row, rows with entries and an end row")
	case slices.Contains(data, 0):
		return fault("a zero byte", "UTF-8 text; export as CSV UTF-8, not as UTF-16 or a workbook")
	}
	return true
}

// parse checks the rows one by one and then across rows.
func (p *parser) parse(text string) {
	text = norm.NFC.String(strings.TrimPrefix(text, "\ufeff"))
	delim, text, skipped := detectDelimiter(text)
	s := csvReader{text: text, delim: delim, row: skipped, faults: &p.faults}
	lastRow := skipped
	for _, cells := range s.readRows() {
		lastRow = cells[0].row
		p.checkUTF8(cells)
		if isBlank(cells) {
			continue
		}
		if p.header == nil {
			p.readHeader(cells)
			continue
		}
		p.readRow(cells)
		if p.sheet.Rows > p.opts.MaxRows {
			p.faults.add(lastRow, -1, "", fmt.Sprintf("more than %d rows", p.opts.MaxRows), fmt.Sprintf("at most %d rows", p.opts.MaxRows))
			return
		}
	}
	if !p.endSeen {
		p.faults.add(lastRow+1, -1, "", "the end of the file",
			fmt.Sprintf("a row of kind end with count %d; without it the file looks truncated", p.sheet.Rows))
	}
	p.checkAcrossRows()
}

// checkUTF8 reports each cell that is not valid UTF-8 and replaces the invalid bytes.
func (p *parser) checkUTF8(cells []cell) {
	for i, c := range cells {
		if !utf8.ValidString(c.text) {
			cells[i].text = strings.ToValidUTF8(c.text, "?")
			p.faults.add(c.row, c.col, p.headerName(c.col), excerpt(cells[i].text), "UTF-8 text; export as CSV UTF-8")
		}
	}
}

// headerName returns the column name of a column index, or "" if it has none.
func (p *parser) headerName(col int) string {
	if col < len(p.header) {
		return p.header[col]
	}
	return ""
}

func isBlank(cells []cell) bool {
	return !slices.ContainsFunc(cells, func(c cell) bool { return trimSpaces(c.text) != "" })
}

// readHeader sets header and columnIndex and reports unknown, repeated and missing
// columns.
func (p *parser) readHeader(cells []cell) {
	p.header = make([]string, len(cells))
	p.columnIndex = make(map[string]int)
	for _, c := range cells {
		name := normalizeHeader(c.text)
		switch _, dup := p.columnIndex[name]; {
		case name == "":
		case !columns[name]:
			p.faults.add(c.row, c.col, "", excerpt(trimSpaces(c.text)), allowedColumns(name))
		case dup:
			p.faults.add(c.row, c.col, name, excerpt(trimSpaces(c.text)), "each column once; it is also column "+columnLetters(p.columnIndex[name]))
		default:
			p.header[c.col] = name
			p.columnIndex[name] = c.col
		}
	}
	for _, required := range []string{colKind, colDay} {
		if _, ok := p.columnIndex[required]; !ok {
			p.faults.add(cells[0].row, -1, "", "no column "+required, "a header row with the columns kind and day")
		}
	}
}

// allowedColumns returns what is allowed in place of an unknown column name.
func allowedColumns(name string) string {
	known := make([]string, 0, len(columns))
	for c := range columns {
		known = append(known, c)
	}
	slices.Sort(known)
	if n := nearestName(name, known); n != "" {
		return fmt.Sprintf("a known column, perhaps %s", n)
	}
	return "a known column: " + strings.Join(known, ", ")
}
