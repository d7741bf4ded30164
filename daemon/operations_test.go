package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sassafraslb/sassafraslb/contract"
)

var (
	eventField     = regexp.MustCompile(`Str\("event", "([a-z_]+)"\)`)
	eventMessage   = regexp.MustCompile(`\.Msg\("([a-z_]+)"\)`)
	problemLiteral = regexp.MustCompile(`Problem\{"([a-z_]+)"`)
)

// Guards against a log event that the table in docs/OPERATIONS.md lacks, or for which the table
// names the wrong field: events in the message field carry the mark * there.
func TestOperationsPageListsLogEvents(t *testing.T) {
	page := readPage(t, "OPERATIONS.md")
	_, table, _ := strings.Cut(page, "## Log events")
	found := 0
	for _, pattern := range []string{"../*/*.go", "../cmd/sassafraslbd/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			code, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range eventField.FindAllStringSubmatch(string(code), -1) {
				found++
				if !strings.Contains(table, "`"+m[1]+"`") || strings.Contains(table, "`"+m[1]+"`*") {
					t.Errorf("%s: docs/OPERATIONS.md lacks log event %s, or marks it as a message", name, m[1])
				}
			}
			for _, m := range eventMessage.FindAllStringSubmatch(string(code), -1) {
				found++
				if !strings.Contains(table, "`"+m[1]+"`*") {
					t.Errorf("%s: docs/OPERATIONS.md lacks log event %s with the mark of a message", name, m[1])
				}
			}
		}
	}
	if found == 0 {
		t.Error("no log event found in the code, so the patterns no longer match it")
	}
}

// Guards against a problem that doctor reports and docs/OPERATIONS.md lacks. The names are read
// from the code of health.go; those with a suffix or state are completed here.
func TestOperationsPageListsProblems(t *testing.T) {
	page := readPage(t, "OPERATIONS.md")
	code, err := os.ReadFile("health.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range problemLiteral.FindAllStringSubmatch(string(code), -1) {
		if !strings.HasSuffix(m[1], "_") { // a prefix, completed below by the states of a daemon
			names = append(names, m[1])
		}
	}
	if len(names) == 0 {
		t.Error("no problem name found in the code, so the pattern no longer matches it")
	}
	for _, k := range []contract.KeyKind{contract.Rack, contract.Exec, contract.Jobs, contract.IDs} {
		names = append(names, string(k)+"_without_owner", string(k)+"_without_tenure", string(k)+"_owner_dead")
	}
	for _, n := range append(names, "daemon_suspected", "daemon_dead") {
		if !strings.Contains(page, "`"+n+"`") {
			t.Errorf("docs/OPERATIONS.md lacks problem %s", n)
		}
	}
}
