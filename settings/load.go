package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	Field string // dotted path, for example "ownership.tenure"
	Line  int    // 1-based; 0 if the field is missing
	Text  string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// Faults is the error of a settings file with one or more faults, in line order.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads and checks settings. All faults are returned together as Faults.
func Parse(data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{{Field: "(file)", Line: errorLine(err), Text: "not valid JSON with comments: " + err.Error()}}
	}
	s := Default()
	d := decoder{data: data, lines: make(map[string]int)}
	d.object(&root, reflect.ValueOf(&s).Elem(), "")
	d.faults = append(d.faults, check(&s, d.lines)...)
	if len(d.faults) > 0 {
		sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
		return nil, d.faults
	}
	return &s, nil
}

// errorLine takes the line from hujson's message "hujson: line 3, column 1: ...".
func errorLine(err error) int {
	var line, col int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &col); e != nil {
		return 0
	}
	return line
}

// decoder fills a struct from a syntax tree and notes the line of each field.
type decoder struct {
	data   []byte
	lines  map[string]int
	faults Faults
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) fault(path string, offset int, format string, args ...any) {
	d.faults = append(d.faults, Fault{Field: path, Line: d.lineAt(offset), Text: fmt.Sprintf(format, args...)})
}

// object decodes v into the struct dst. Unknown and repeated fields are faults.
func (d *decoder) object(v *hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(orFile(path), v.StartOffset, "want an object")
		return
	}
	fields := fieldsByName(dst.Type())
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		full := strings.TrimPrefix(path+"."+name, ".")
		index, known := fields[name]
		switch {
		case !known:
			d.fault(full, m.Name.StartOffset, "unknown field; allowed here: %s", strings.Join(sortedKeys(fields), ", "))
			continue
		case seen[name]:
			d.fault(full, m.Name.StartOffset, "given twice")
			continue
		}
		seen[name] = true
		d.lines[full] = d.lineAt(m.Name.StartOffset)
		d.field(&m.Value, dst.Field(index), full)
	}
}

func (d *decoder) field(v *hujson.Value, dst reflect.Value, path string) {
	if dst.Kind() == reflect.Struct {
		d.object(v, dst, path)
		return
	}
	std := v.Clone()
	std.Standardize()
	raw := bytes.TrimSpace(std.Pack())
	if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
		d.fault(path, v.StartOffset, "%s", plain(err))
	}
}

// plain removes Go type names from the messages of encoding/json.
func plain(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Sprintf("want %s, got %s", te.Type.Kind(), te.Value)
	}
	return err.Error()
}

func fieldsByName(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out[name] = i
	}
	return out
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func orFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}
