package daemon

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/settings"
	"github.com/sassafraslb/sassafraslb/zone"
)

// readPage returns the text of a page of docs/.
func readPage(t *testing.T, name string) string {
	t.Helper()
	page, err := os.ReadFile("../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// descPattern takes the name and the labels from the text of a prometheus.Desc, which has no
// methods for them.
var descPattern = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)

// Guards against a metric or label that docs/metrics.md lacks, against a row for a metric that
// no longer exists, and against metrics of the project without the prefix sassafraslb_.
func TestMetricsPageListsMetrics(t *testing.T) {
	settings := settings.Default()
	settings.DaemonID, settings.Zone, settings.LogRegion = "entry-1", "a", "r"
	settings.Regions = map[zone.Region][]zone.Name{"r": {"a"}}
	settings.RPCAddress = "127.0.0.1:0"
	settings.LogURL, settings.HostsURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	i, err := wire(&settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	(&Daemon{settings: &settings, injector: i}).runners() // builds the components that no other component depends on
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer func() { _ = do.MustInvoke[*link.Server](i).Run(ctx) }() // closes the listener
	descs := make(chan *prometheus.Desc)
	go func() {
		do.MustInvoke[*prometheus.Registry](i).Describe(descs)
		close(descs)
	}()
	registered := make(map[string]bool)
	page := readPage(t, "metrics.md")
	for d := range descs {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("cannot parse metric description %s", d)
		}
		if !strings.HasPrefix(m[1], "sassafras") {
			continue // a metric of the Go runtime or the process
		}
		if !strings.HasPrefix(m[1], "sassafraslb_") {
			t.Errorf("metric %s lacks the prefix sassafraslb_", m[1])
		}
		registered[m[1]] = true
		labels := "-"
		if m[2] != "" {
			labels = "`" + strings.ReplaceAll(m[2], ",", "`, `") + "`"
		}
		row := regexp.MustCompile(fmt.Sprintf("(?m)^\\| `%s` \\| (counter|gauge|histogram) \\| %s \\|", m[1], regexp.QuoteMeta(labels)))
		if !row.MatchString(page) {
			t.Errorf("docs/metrics.md lacks metric %s with labels %s", m[1], labels)
		}
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `(sassafras[a-z_]+)`").FindAllStringSubmatch(page, -1) {
		if !registered[m[1]] {
			t.Errorf("docs/metrics.md has metric %s, which does not exist", m[1])
		}
	}
}

// firstLabelArg lists the functions whose string literals become refusal reasons or label values,
// each with the index of its first such argument.
var firstLabelArg = map[string]int{"New": 1, "Wrap": 1, "WithLabelValues": 0, "inc": 0, "add": 0}

// Guards against a refusal reason or label value that appears in answers or metrics and that
// docs/metrics.md lacks. The literals are read from the code of the packages that refuse.
func TestMetricsPageListsReasons(t *testing.T) {
	page := readPage(t, "metrics.md")
	found := 0
	for _, pkg := range []string{"request", "job", "placement", "config", "machine"} {
		files, err := filepath.Glob("../" + pkg + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				for _, label := range labelsOf(n) {
					found++
					if !strings.Contains(page, "`"+label+"`") {
						t.Errorf("%s: docs/metrics.md lacks the reason or label value %q", fset.Position(n.Pos()), label)
					}
				}
				return true
			})
		}
	}
	if found == 0 {
		t.Error("no reason found in the code, so the search no longer matches it")
	}
}

// labelsOf returns the string literals of n that are reasons or label values, if n is a call
// of a function in firstLabelArg, otherwise nil.
func labelsOf(n ast.Node) []string {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return nil
	}
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	firstArg, ok := firstLabelArg[fun.Sel.Name]
	if !ok {
		return nil
	}
	args := call.Args
	if firstArg == 1 { // errkind.New(kind, reason, ...)
		if x, ok := fun.X.(*ast.Ident); !ok || x.Name != "errkind" || len(args) < 2 {
			return nil
		}
		args = args[1:2]
	}
	var out []string
	for _, a := range args {
		if lit, ok := a.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if s, err := strconv.Unquote(lit.Value); err == nil && s != "" {
				out = append(out, s)
			}
		}
	}
	return out
}
