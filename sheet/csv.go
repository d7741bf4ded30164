package sheet

import (
	"strings"
)

// cell is one field of the exported table.
type cell struct {
	text string
	row  int // as a spreadsheet shows it, from 1
	col  int // from 0
}

// splitter reads delimited text with quoted cells. It never stops at a fault, so
// that later rows are still checked.
type splitter struct {
	text   string
	delim  byte
	row    int
	faults *Faults
}

// rows returns the cells of every row. Rows keep their number when they are empty.
func (s *splitter) rows() [][]cell {
	var out [][]cell
	for len(s.text) > 0 {
		s.row++
		out = append(out, s.record())
	}
	return out
}

// record reads up to and including the next line end outside quotes.
func (s *splitter) record() []cell {
	var cells []cell
	for {
		text := s.field(len(cells))
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

// field reads one cell and leaves the separator or line end in place.
func (s *splitter) field(col int) string {
	if !strings.HasPrefix(s.text, `"`) {
		return s.plain()
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
	if extra := s.plain(); strings.TrimSpace(extra) != "" {
		s.faults.add(s.row, col, "", excerpt(extra), "nothing between a closing quote and the next separator")
	}
	return b.String()
}

func (s *splitter) plain() string {
	i := strings.IndexAny(s.text, string([]byte{s.delim})+"\r\n")
	if i < 0 {
		i = len(s.text)
	}
	out := s.text[:i]
	s.text = s.text[i:]
	return out
}

// excerpt shortens what was found for a message.
func excerpt(s string) string {
	const limit = 60
	if r := []rune(s); len(r) > limit {
		return string(r[:limit]) + "..."
	}
	return s
}

// headerSearch is the number of rows in which the header is looked for, because
// exports may begin with empty rows.
const headerSearch = 5

func knownColumns(cells []cell) int {
	known := 0
	for _, c := range cells {
		if columns[normalizeHeader(c.text)] {
			known++
		}
	}
	return known
}

// detectDelimiter picks the separator under which a row near the top has
// the most known columns. A first line "sep=;" as some spreadsheets write it decides.
func detectDelimiter(text string) (delim byte, rest string, skipped int) {
	first, after, _ := strings.Cut(text, "\n")
	first = strings.Trim(strings.TrimSuffix(first, "\r"), `"`)
	if v, ok := strings.CutPrefix(strings.ToLower(first), "sep="); ok && len(v) == 1 && strings.Contains(",;\t", v) {
		return v[0], after, 1
	}
	best := -1
	for _, d := range []byte{',', ';', '\t'} {
		var ignored Faults
		s := splitter{text: text, delim: d, faults: &ignored}
		for range headerSearch {
			if known := knownColumns(s.record()); known > best {
				best, delim = known, d
			}
		}
	}
	return delim, text, 0
}
