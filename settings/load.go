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

// Fault is one error in a settings file.
type Fault struct {
	Field string // dotted path, for example "ownership.tenure"
	Line  int    // from 1; 0 if the field is missing
	Text  string // what is wrong
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// Faults is the error that Parse returns: every fault of a settings file, in line order.
type Faults []Fault

// Error implements error with one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings file at path and checks it as Parse does. The error is a
// Faults unless the file cannot be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes and checks settings. Fields that are not given keep their default.
// The error is a Faults with every fault found.
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

// errorLine returns the line that hujson states in its message, such as
// "hujson: line 3, column 1: ...", or 0 if there is none.
func errorLine(err error) int {
	var line, col int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &col); e != nil {
		return 0
	}
	return line
}

// decoder fills a struct from a syntax tree and records the line of each field.
type decoder struct {
	data   []byte         // the settings file
	lines  map[string]int // line of each field by dotted path
	faults Faults
}

// lineAt returns the line, from 1, of a byte offset in the file.
func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) addFault(path string, offset int, format string, args ...any) {
	d.faults = append(d.faults, Fault{Field: path, Line: d.lineAt(offset), Text: fmt.Sprintf(format, args...)})
}

// object decodes v into the struct dst, whose dotted path is path (empty for the
// whole file). Unknown and repeated fields are faults.
func (d *decoder) object(v *hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(pathOrFile(path), v.StartOffset, "want an object")
		return
	}
	fields := fieldsByName(dst.Type())
	seen := make(map[string]bool)
	for i := range obj.Members {
		member := &obj.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		index, known := fields[name]
		switch {
		case !known:
			d.addFault(fieldPath, member.Name.StartOffset, "unknown field; allowed here: %s", strings.Join(sortedKeys(fields), ", "))
			continue
		case seen[name]:
			d.addFault(fieldPath, member.Name.StartOffset, "given twice")
			continue
		}
		seen[name] = true
		d.lines[fieldPath] = d.lineAt(member.Name.StartOffset)
		d.field(&member.Value, dst.Field(index), fieldPath)
	}
}

// field decodes v into the field dst, whose dotted path is path.
func (d *decoder) field(v *hujson.Value, dst reflect.Value, path string) {
	if dst.Kind() == reflect.Struct {
		d.object(v, dst, path)
		return
	}
	standard := v.Clone()
	standard.Standardize()
	raw := bytes.TrimSpace(standard.Pack())
	if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
		d.addFault(path, v.StartOffset, "%s", jsonErrorText(err))
	}
}

// jsonErrorText returns the message of an error of encoding/json without the names
// of Go types.
func jsonErrorText(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Sprintf("want %s, got %s", te.Type.Kind(), te.Value)
	}
	return err.Error()
}

// fieldsByName returns the index of each field of the struct type t by JSON name.
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

// pathOrFile returns path, or "(file)" for the whole file.
func pathOrFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}
