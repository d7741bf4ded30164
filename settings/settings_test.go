package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validSettings = `{
  // entry host 1
  "daemon_id": "entry-1",
  "zone": "lom-bergamo",
  "log_url": "http://127.0.0.1:7000",
  "hosts_url": "http://127.0.0.1:7001",
  "log_region": "lombardy",
  "regions": {"lombardy": ["lom-bergamo", "lom-monza"], "veneto": ["ven-treviso"]},
  "ownership": {"tenure": "1s", "takeover_wait": "2s",}, // trailing commas are allowed
}`

// Guards against rejecting comments or trailing commas, and against losing the
// defaults of fields that the file does not give.
func TestParseValid(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Region() != "lombardy" {
		t.Errorf("region = %q, want lombardy", s.Region())
	}
	if diff := cmp.Diff(Default().Requests, s.Requests); diff != "" {
		t.Errorf("defaults of requests lost (-want +got):\n%s", diff)
	}
}

// Guards against a fault that is missed or reported with the wrong line or field.
func TestParseFaults(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string // texts that one fault has to contain
	}{
		{"unknown field", `"daemon_id"`, `"deamon_id"`, []string{"line 3", "deamon_id", "unknown field"}},
		{"missing field", `"daemon_id": "entry-1",`, ``, []string{"daemon_id", "required"}},
		{"missing unit", `"tenure": "1s"`, `"tenure": 1`, []string{"line 9", "ownership.tenure", "unit"}},
		{"wrong unit", `"tenure": "1s"`, `"tenure": "1 fortnight"`, []string{"line 9", "ownership.tenure", "unit"}},
		{"takeover wait not above tenure", `"takeover_wait": "2s"`, `"takeover_wait": "1s"`, []string{"line 9", "ownership.takeover_wait", "longer than tenure"}},
		{"zone in no region", `"zone": "lom-bergamo"`, `"zone": "lom-como"`, []string{"line 4", "zone", "no region"}},
		{"wrong type", `"daemon_id": "entry-1"`, `"daemon_id": 7`, []string{"line 3", "daemon_id", "want string"}},
		{"repeated field", `"zone": "lom-bergamo",`, `"zone": "lom-bergamo", "zone": "lom-monza",`, []string{"line 4", "zone", "twice"}},
		{"syntax error", `"daemon_id": "entry-1",`, `"daemon_id" "entry-1",`, []string{"line 3", "not valid JSON"}},
		{"level that hides errors", `"zone": "lom-bergamo"`, `"log_level": "disabled", "zone": "lom-bergamo"`, []string{"line 4", "log_level", "error, got"}},
		{"deadline above maximum", `"zone": "lom-bergamo"`, `"requests": {"default_deadline": "6m"}, "zone": "lom-bergamo"`, []string{"line 4", "requests.default_deadline", "to 5m"}},
		{"zero clock drift", `"tenure": "1s"`, `"clock_drift": 0, "tenure": "1s"`, []string{"line 9", "ownership.clock_drift", "0.0001 to"}},
		{"zero stability", `"tenure": "1s"`, `"stability": "0s", "tenure": "1s"`, []string{"line 9", "ownership.stability", "100ms to"}},
		{"bad URL", `http://127.0.0.1:7000`, `127.0.0.1:7000`, []string{"line 5", "log_url", "http"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			var faults Faults
			if !errors.As(err, &faults) {
				t.Fatalf("got error %v, want Faults", err)
			}
			for _, f := range faults {
				if containsAll(f.String(), c.want) {
					return
				}
			}
			t.Errorf("no fault has all of %q:\n%s", c.want, err)
		})
	}
}

// Guards against a report that stops at the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse([]byte(`{"zone": 1, "bogus": 2, "log_level": "loud"}`))
	for _, want := range []string{"zone", "bogus", "log_level", "daemon_id", "regions"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("fault of %s missing in:\n%s", want, err)
		}
	}
}

func containsAll(s string, fragments []string) bool {
	for _, p := range fragments {
		if !strings.Contains(s, p) {
			return false
		}
	}
	return true
}
