// Package sheet reads the sheet that planners export each morning, reports every
// fault of it at once, and shows what it would change.
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

// Options tell what a sheet is checked against.
type Options struct {
	Day           string            // required; local date that the rows must carry, "2006-01-02"
	Topology      *zone.Topology    // required; the regions and zones of the deployment
	LargestWorker machine.Resources // largest worker; a task above it is a fault. Zero skips the check.
	MaxBytes      int64             // default 16 MiB
	MaxRows       int               // default 100,000
}

// Sheet is the content of one day.
type Sheet struct {
	Day     string
	Rows    int // rows with entries
	Content config.Content
}

// Parse reads a whole sheet. If anything is wrong with it, the error is of kind
// bad_input and holds every fault (see FaultsOf), and there is no sheet.
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
	p := &parser{opts: opts, first: make(map[string]int), exact: make(map[string]bool), sheet: Sheet{Day: opts.Day, Content: config.Content{
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

// FaultsOf returns the faults of an error of Parse.
func FaultsOf(err error) (*Faults, bool) {
	var f *Faults
	ok := errors.As(err, &f)
	return f, ok
}

// parser holds the state of one Parse.
type parser struct {
	opts   Options
	faults Faults
	sheet  Sheet
	header []string        // name by column, empty if unknown
	column map[string]int  // column by name
	first  map[string]int  // row that first used a key, in lower case
	exact  map[string]bool // keys as spelled
	placed []placedRow
	limits []row
	drains []row
	ended  bool
}

// placedRow is a row of an intention, for the checks between rows.
type placedRow struct {
	row
	key string
}

// checkFile reports faults that make it useless to look at rows.
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

func (p *parser) parse(text string) {
	text = norm.NFC.String(strings.TrimPrefix(text, "\ufeff"))
	delim, text, skipped := detectDelimiter(text)
	s := splitter{text: text, delim: delim, row: skipped, faults: &p.faults}
	last := skipped
	for _, cells := range s.rows() {
		last = cells[0].row
		p.checkUTF8(cells)
		if blank(cells) {
			continue
		}
		if p.header == nil {
			p.readHeader(cells)
			continue
		}
		p.readRow(cells)
		if p.sheet.Rows > p.opts.MaxRows {
			p.faults.add(last, -1, "", fmt.Sprintf("more than %d rows", p.opts.MaxRows), fmt.Sprintf("at most %d rows", p.opts.MaxRows))
			return
		}
	}
	if !p.ended {
		p.faults.add(last+1, -1, "", "the end of the file",
			fmt.Sprintf("a row of kind end with count %d; without it the file looks truncated", p.sheet.Rows))
	}
	p.checkBetweenRows()
}

// checkUTF8 reports each cell with bytes that are not UTF-8 and replaces them.
func (p *parser) checkUTF8(cells []cell) {
	for i, c := range cells {
		if !utf8.ValidString(c.text) {
			cells[i].text = strings.ToValidUTF8(c.text, "?")
			p.faults.add(c.row, c.col, p.headerOf(c.col), excerpt(cells[i].text), "UTF-8 text; export as CSV UTF-8")
		}
	}
}

func (p *parser) headerOf(col int) string {
	if col < len(p.header) {
		return p.header[col]
	}
	return ""
}

func blank(cells []cell) bool {
	return !slices.ContainsFunc(cells, func(c cell) bool { return clean(c.text) != "" })
}

func (p *parser) readHeader(cells []cell) {
	p.header = make([]string, len(cells))
	p.column = make(map[string]int)
	for _, c := range cells {
		name := normalizeHeader(c.text)
		switch _, dup := p.column[name]; {
		case name == "":
		case !columns[name]:
			p.faults.add(c.row, c.col, "", excerpt(clean(c.text)), unknownColumn(name))
		case dup:
			p.faults.add(c.row, c.col, name, excerpt(clean(c.text)), "each column once; it is also column "+columnLetters(p.column[name]))
		default:
			p.header[c.col] = name
			p.column[name] = c.col
		}
	}
	for _, need := range []string{colKind, colDay} {
		if _, ok := p.column[need]; !ok {
			p.faults.add(cells[0].row, -1, "", "no column "+need, "a header row with the columns kind and day")
		}
	}
}

func unknownColumn(name string) string {
	known := make([]string, 0, len(columns))
	for c := range columns {
		known = append(known, c)
	}
	slices.Sort(known)
	if n := nearest(name, known); n != "" {
		return fmt.Sprintf("a known column, perhaps %s", n)
	}
	return "a known column: " + strings.Join(known, ", ")
}
