package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/daemon"
)

// readPage returns the text of the manual page of sassafrasctl.
func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/sassafrasctl.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// sections returns the text below the heading of each command on the page, by command.
func sections(page string) map[string]string {
	out := make(map[string]string)
	for _, s := range strings.Split(page, "\n### ")[1:] {
		title, text, _ := strings.Cut(s, "\n")
		text, _, _ = strings.Cut(text, "\n## ")
		out[strings.Trim(title, "` ")] = text
	}
	return out
}

// Guards against a command, flag or argument that the page lacks, and against a command on the
// page that does not exist.
func TestPageListsCommands(t *testing.T) {
	page := readPage(t)
	app, commands := newApp()
	text := sections(page)
	for _, c := range commands {
		m := c.clause.Model()
		section, ok := text[c.clause.FullCommand()]
		if !ok {
			t.Errorf("page lacks command %s", c.clause.FullCommand())
			continue
		}
		delete(text, c.clause.FullCommand())
		for _, f := range m.Flags {
			if !strings.Contains(section, "`--"+f.Name+"`") {
				t.Errorf("section of %s lacks flag --%s", c.clause.FullCommand(), f.Name)
			}
		}
		for _, a := range m.Args {
			if !strings.Contains(section, strings.ToUpper(a.Name)) {
				t.Errorf("section of %s lacks argument %s", c.clause.FullCommand(), a.Name)
			}
		}
	}
	for name := range text {
		t.Errorf("page has command %s, which does not exist", name)
	}
	for _, f := range []*kingpin.FlagClause{app.GetFlag("server"), app.GetFlag("output"), app.GetFlag("retry-for"), app.GetFlag("timeout")} {
		if !strings.Contains(page, "`--"+f.Model().Name+"`") {
			t.Errorf("page lacks flag --%s", f.Model().Name)
		}
	}
}

// Guards against an exit code that the page lacks. The codes are the constants of main.go whose
// names start with exit.
func TestPageListsExitCodes(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "main.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	page, codes := readPage(t), 0
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(v.Names[0].Name, "exit") || len(v.Values) != 1 {
			return true
		}
		codes++
		if code := v.Values[0].(*ast.BasicLit).Value; !strings.Contains(page, fmt.Sprintf("\n| %s | ", code)) {
			t.Errorf("page lacks exit code %s (%s)", code, v.Names[0].Name)
		}
		return true
	})
	if rows := strings.Count(page, "\n| "); codes == 0 || rows < codes {
		t.Errorf("found %d exit codes in the code and %d table rows on the page", codes, rows)
	}
}

// Guards against "-" as a file argument that does not reach the command: kingpin parses it as a
// flag without a name.
func TestDashIsStandardInput(t *testing.T) {
	app, _ := newApp()
	app.UsageWriter(io.Discard)
	ctx, err := app.ParseContext(replaceDash([]string{"sheet", "check", "-"}))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range ctx.Elements {
		if e.Value != nil {
			got = append(got, *e.Value)
		}
	}
	if diff := cmp.Diff([]string{stdinPath}, got); diff != "" {
		t.Errorf("arguments (-want +got):\n%s", diff)
	}
}

// Guards against a job file that is ignored, and against flags that do not override its fields.
func TestFlagsWinOverJobFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(path, []byte(`{"kind":"batch","count":3,"cpu_milli":100,"preemptible":true}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var got daemon.JobBody
	if err := readJob(path, &got, &daemon.JobBody{Count: 5}); err != nil {
		t.Fatal(err)
	}
	want := daemon.JobBody{Kind: "batch", Count: 5, CPUMilli: 100, Preemptible: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
}
