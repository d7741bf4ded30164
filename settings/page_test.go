package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// pageRows returns the table of docs/settings.md: the seven cells of each row by field.
// The cells include the default (index 2) and the bounds (index 3).
func pageRows(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string][]string)
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.Trim(cells[i], " `")
		}
		if len(cells) != 7 {
			t.Fatalf("row has %d cells, want 7: %s", len(cells), line)
		}
		rows[cells[0]] = cells
	}
	return rows
}

// collectDefaults adds the default of each field of v to out, by dotted path and as
// the page writes it.
func collectDefaults(v reflect.Value, prefix string, out map[string]string) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		f := v.Field(i)
		d, isDuration := f.Interface().(Duration)
		switch {
		case f.Kind() == reflect.Struct:
			collectDefaults(f, path+".", out)
		case isDuration:
			out[path] = d.Std().String()
		case f.Kind() == reflect.Bool:
			out[path] = fmt.Sprint(f.Bool())
		case f.IsZero():
			out[path] = "none"
		default:
			out[path] = fmt.Sprint(f.Interface())
		}
	}
}

// Guards against a page that lacks a field, has a wrong default or still has a field
// that was removed.
func TestPageMatchesSettings(t *testing.T) {
	want := make(map[string]string)
	collectDefaults(reflect.ValueOf(Default()), "", want)
	rows := pageRows(t)
	for path, def := range want {
		row, ok := rows[path]
		if !ok {
			t.Errorf("page lacks field %s", path)
			continue
		}
		// The page writes 2m where time.Duration prints 2m0s.
		if got := row[2]; got != def && got+"0s" != def {
			t.Errorf("%s: page has default %q, code has %q", path, got, def)
		}
	}
	for path := range rows {
		if _, ok := want[path]; !ok {
			t.Errorf("page has field %s, which does not exist", path)
		}
	}
}

// Guards against an example in docs/settings.md that the daemon would reject.
func TestPageExampleIsValid(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```jsonc\n")
	example, _, ok := strings.Cut(rest, "```")
	if !ok {
		t.Fatal("page has no jsonc example")
	}
	if _, err := Parse([]byte(example)); err != nil {
		t.Error(err)
	}
}

// boundsPattern matches bounds such as "10ms to 1m", which other text may follow.
var boundsPattern = regexp.MustCompile(`^(\S+) to ([^\s,]+)`)

// setField sets the field at a dotted path to bound plus offset. bound is a duration
// or a number as the page writes it; offset is in nanoseconds for a duration.
func setField(t *testing.T, s *Settings, path, bound string, offset float64) {
	t.Helper()
	f := reflect.ValueOf(s).Elem()
	for _, name := range strings.Split(path, ".") {
		f = f.Field(fieldsByName(f.Type())[name])
	}
	if f.Type() == reflect.TypeFor[Duration]() {
		d, err := time.ParseDuration(bound)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		f.SetInt(int64(d) + int64(offset))
		return
	}
	n, err := strconv.ParseFloat(bound, 64)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if f.CanFloat() {
		f.SetFloat(n + offset)
	} else {
		f.SetInt(int64(n + offset))
	}
}

// Guards against bounds on the page that check does not apply. Each bound has to be
// accepted, and the value just outside of it to be a fault.
func TestPageBounds(t *testing.T) {
	tested := 0
	for path, row := range pageRows(t) {
		m := boundsPattern.FindStringSubmatch(row[3])
		if m == nil {
			continue
		}
		tested++
		for _, c := range []struct {
			value  string
			offset float64
			refuse bool
		}{{m[1], 0, false}, {m[1], -1, true}, {m[2], 0, false}, {m[2], 1, true}} {
			s, err := Parse([]byte(validSettings))
			if err != nil {
				t.Fatal(err)
			}
			setField(t, s, path, c.value, c.offset)
			refused := false
			for _, f := range check(s, nil) {
				refused = refused || f.Field == path && strings.Contains(f.Text, " to ")
			}
			if refused != c.refuse {
				t.Errorf("%s: bound %s with %+g: refused %v, want %v", path, c.value, c.offset, refused, c.refuse)
			}
		}
	}
	if tested == 0 {
		t.Error("no bounds found on the page; boundsPattern no longer matches it")
	}
}
