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

// pageRows returns field, unit, default and bounds of each field in the table of docs/settings.md.
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

// defaults collects the default of each field by dotted path, as the page writes it.
func defaults(v reflect.Value, prefix string, out map[string]string) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		f := v.Field(i)
		d, isDuration := f.Interface().(Duration)
		switch {
		case f.Kind() == reflect.Struct:
			defaults(f, path+".", out)
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

// Guards against a field or default that docs/settings.md lacks, gets wrong or still has after its removal.
func TestPageMatchesSettings(t *testing.T) {
	want := make(map[string]string)
	defaults(reflect.ValueOf(Default()), "", want)
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

// Guards against an annotated example that the daemon would refuse.
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

// boundsForm reads "10ms to 1m" and what may follow it.
var boundsForm = regexp.MustCompile(`^(\S+) to ([^\s,]+)`)

// setField sets the field at a dotted path to v, a time or a number as the page writes it.
func setField(t *testing.T, s *Settings, path, v string, beyond float64) {
	t.Helper()
	f := reflect.ValueOf(s).Elem()
	for _, name := range strings.Split(path, ".") {
		f = f.Field(fieldsByName(f.Type())[name])
	}
	if f.Type() == reflect.TypeFor[Duration]() {
		d, err := time.ParseDuration(v)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		f.SetInt(int64(d) + int64(beyond))
		return
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if f.CanFloat() {
		f.SetFloat(n + beyond)
	} else {
		f.SetInt(int64(n + beyond))
	}
}

// Guards against bounds on the page that the check does not have: each bound is accepted, and the next value is not.
func TestPageBounds(t *testing.T) {
	tested := 0
	for path, row := range pageRows(t) {
		m := boundsForm.FindStringSubmatch(row[3])
		if m == nil {
			continue
		}
		tested++
		for _, c := range []struct {
			value  string
			beyond float64
			refuse bool
		}{{m[1], 0, false}, {m[1], -1, true}, {m[2], 0, false}, {m[2], 1, true}} {
			s, err := Parse([]byte(valid))
			if err != nil {
				t.Fatal(err)
			}
			setField(t, s, path, c.value, c.beyond)
			refused := false
			for _, f := range check(s, nil) {
				refused = refused || f.Field == path && strings.Contains(f.Text, " to ")
			}
			if refused != c.refuse {
				t.Errorf("%s: bound %s with %+g: refused %v, want %v", path, c.value, c.beyond, refused, c.refuse)
			}
		}
	}
	if tested == 0 {
		t.Error("no bounds found on the page; the search is broken")
	}
}
