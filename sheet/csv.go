package sheet

import (
	"strings"
)

// cell is one cell of the sheet.
type cell struct {
	text string
	row  int // row number as a spreadsheet shows it, from 1
	col  int // column index, from 0
}

// csvReader reads delimited text with quoted cells. Unlike encoding/csv it goes on
// after a fault, so that later rows are checked too.
type csvReader struct {
	text   string // not read yet
	delim  byte
	row    int // number of the current row, a skipped line included; 0 before the first
	faults *Faults
}

// readRows returns the cells of every row. Empty rows are included, so that row
// numbers stay those of the spreadsheet.
func (s *csvReader) readRows() [][]cell {
	var out [][]cell
	for len(s.text) > 0 {
		s.row++
		out = append(out, s.readRow())
	}
	return out
}

// readRow reads the cells up to the next line end outside of quotes, and the line end.
func (s *csvReader) readRow() []cell {
	var cells []cell
	for {
		text := s.readCell(len(cells))
		cells = append(cells, cell{text, s.row, len(cells)})
		if s.text == "" {
			return cells
		}
		if s.text[0] == s.delim {
			s.text = s.text[1:]
			continue
		}
		s.text = strings.TrimPrefix(strings.TrimPrefix(s.text, "\r"), "\n")
		return cells
	}
}

// readCell reads one cell, but not the separator or line end after it.
func (s *csvReader) readCell(col int) string {
	if !strings.HasPrefix(s.text, `"`) {
		return s.readUnquoted()
	}
	s.text = s.text[1:]
	var b strings.Builder
	for {
		i := strings.IndexByte(s.text, '"')
		if i < 0 {
			b.WriteString(s.text)
			s.text = ""
			s.faults.add(s.row, col, "", excerpt(b.String()), "a closing quote; the file looks truncated")
			return b.String()
		}
		b.WriteString(s.text[:i])
		s.text = s.text[i+1:]
		if !strings.HasPrefix(s.text, `"`) {
			break
		}
		b.WriteByte('"')
		s.text = s.text[1:]
	}
	if extra := s.readUnquoted(); strings.TrimSpace(extra) != "" {
		s.faults.add(s.row, col, "", excerpt(extra), "nothing between a closing quote and the next separator")
	}
	return b.String()
}

// readUnquoted reads up to the next separator or line end.
func (s *csvReader) readUnquoted() string {
	i := strings.IndexAny(s.text, string([]byte{s.delim})+"\r\n")
	if i < 0 {
		i = len(s.text)
	}
	out := s.text[:i]
	s.text = s.text[i:]
	return out
}

// excerpt shortens the text of a cell to 60 characters for a fault.
func excerpt(s string) string {
	const limit = 60
	if r := []rune(s); len(r) > limit {
		return string(r[:limit]) + "..."
	}
	return s
}

// headerSearchRows is the number of rows that detectDelimiter searches for the header.
// It is above one because exports may begin with empty rows.
const headerSearchRows = 5

// countKnownColumns returns how many cells are column names.
func countKnownColumns(cells []cell) int {
	known := 0
	for _, c := range cells {
		if columns[normalizeHeader(c.text)] {
			known++
		}
	}
	return known
}

// detectDelimiter returns the separator with which one of the first rows has the most
// known columns, or a comma if none has any. If the first line is "sep=;" or the like,
// as some spreadsheets write it, that separator is taken; rest is then the text after
// the line, and skipped is 1.
func detectDelimiter(text string) (delim byte, rest string, skipped int) {
	first, after, _ := strings.Cut(text, "\n")
	first = strings.Trim(strings.TrimSuffix(first, "\r"), `"`)
	if v, ok := strings.CutPrefix(strings.ToLower(first), "sep="); ok && len(v) == 1 && strings.Contains(",;\t", v) {
		return v[0], after, 1
	}
	best := -1
	for _, d := range []byte{',', ';', '\t'} {
		var ignored Faults
		s := csvReader{text: text, delim: d, faults: &ignored}
		for range headerSearchRows {
			if known := countKnownColumns(s.readRow()); known > best {
				best, delim = known, d
			}
		}
	}
	return delim, text, 0
}
