package cell

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestMetricsPageListsAllMetrics guards against a metric of the cell daemon that is missing in
// docs/metrics-cell.md.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/metrics-cell.md")
	if err != nil {
		t.Fatal(err)
	}
	descs := make(chan *prometheus.Desc)
	go func() {
		NewMetrics().Registry.Describe(descs)
		close(descs)
	}()
	name := regexp.MustCompile(`fqName: "([^"]+)"`)
	found := 0
	for d := range descs {
		found++
		m := name.FindStringSubmatch(d.String())
		if m == nil || !strings.HasPrefix(m[1], "sassafraslb_cell_") {
			t.Errorf("%s lacks the prefix sassafraslb_cell_", d)
			continue
		}
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("docs/metrics-cell.md lacks metric %s", m[1])
		}
	}
	if found == 0 {
		t.Error("the registry describes no metrics")
	}
}
