package configcheck_test

import (
	"strings"
	"testing"

	"github.com/sassafraslb/sassafraslb/cell"
	"github.com/sassafraslb/sassafraslb/configcheck"
	"github.com/sassafraslb/sassafraslb/platform"
)

// soundConfig is a configuration without findings.
const soundConfig = `{"version":7,"routes":[` +
	`{"name":"r-a","host":"a.example","pathPrefix":"/jobs/","priority":1,"service":"svc","maxAttempts":3,"stretch":2,"targetLatencyMs":500},` +
	`{"name":"r-b","host":"a.example","pathPrefix":"/wide/","priority":2,"service":"svc","maxAttempts":3,"stretch":4,"targetLatencyMs":500}],` +
	`"services":[{"name":"svc"}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"tenants":[{"name":"t-a","apiKeys":["secret-1","secret-2"],"weight":8,"cap":{"cpu":1000,"memMb":1000,"gpus":0}},` +
	`{"name":"t-b","apiKeys":["secret-3"],"weight":2,"cap":{"cpu":0,"memMb":0,"gpus":0}}]}`

func decode(t *testing.T, text string) *cell.Config {
	t.Helper()
	config, err := platform.Decoder{}.Config([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// TestCheck guards against faults of a configuration that are not reported, and against reports about a sound
// one, which teach operators to ignore the check. Each row changes the sound configuration in one place.
func TestCheck(t *testing.T) {
	options := configcheck.Options{MaxRecordBytes: 262144}
	if findings := configcheck.Check(decode(t, soundConfig), options); len(findings) > 0 {
		t.Errorf("findings in the sound configuration: %+v", findings)
	}
	for _, row := range []struct{ old, changed, severity, want string }{
		{`"version":7`, `"version":0`, "error", "the version is 0"},
		{`"name":"r-b"`, `"name":"r-a"`, "error", "same name"},
		{`"pathPrefix":"/wide/"`, `"pathPrefix":"/jobs/"`, "error", "no call matches it"},
		{`"pathPrefix":"/wide/"`, `"pathPrefix":"/jobs/0a"`, "warning", `ids begin with "0a"`},
		{`"pathPrefix":"/wide/"`, `"pathPrefix":"wide/"`, "error", "does not begin with a slash"},
		{`"host":"a.example","pathPrefix":"/wide/"`, `"pathPrefix":"/wide/"`, "error", "has no host"},
		{`"priority":2,"service":"svc"`, `"priority":2,"service":"other"`, "error", "not in the list of services"},
		{`"priority":2,"service":"svc"`, `"priority":2`, "error", "has no service"},
		{`"stretch":4,"targetLatencyMs":500`, `"stretch":0.5`, "warning", "no job can end by its objective"},
		{`[{"name":"svc"}]`, `[{"name":"svc"},{"name":"unused"}]`, "warning", "no route uses it"},
		{`[{"name":"svc"}]`, `[{"name":"svc"},{"name":"svc"}]`, "error", "another service has the same name"},
		{`"idleTimeoutMs":15000`, `"idleTimeoutMs":1000`, "warning", "before the time-out of heads"},
		{`"maxBodyBytes":262144`, `"maxBodyBytes":300000`, "warning", "cannot be stored"},
		{`"headerTimeoutMs":3000`, `"headerTimeoutMs":-1`, "error", "below 0"},
		{`"headerTimeoutMs":3000,`, ``, "warning", "is not set"},
		{`"apiKeys":["secret-3"]`, `"apiKeys":["secret-1"]`, "error", `also a key of tenant "t-a"`},
		{`"apiKeys":["secret-3"]`, `"apiKeys":[]`, "warning", "has no keys"},
		{`"apiKeys":["secret-3"]`, `"apiKeys":[""]`, "error", "is empty"},
		{`"weight":8`, `"weight":0`, "warning", "no share"},
		{`"cap":{"cpu":1000,`, `"cap":{"cpu":-1,`, "error", "below 0"},
		{`"cap":{"cpu":1000,`, `"cap":{"cpu":0,`, "warning", "only one of processors and memory"},
		{`"name":"t-b"`, `"name":"t-a"`, "error", "another tenant has the same name"},
	} {
		if !strings.Contains(soundConfig, row.old) {
			t.Fatalf("the sound configuration has no %s", row.old)
		}
		findings := configcheck.Check(decode(t, strings.Replace(soundConfig, row.old, row.changed, 1)), options)
		found := false
		for _, f := range findings {
			found = found || (string(f.Severity) == row.severity && strings.Contains(f.Message, row.want))
			if strings.Contains(f.Message+f.Entry, "secret") {
				t.Errorf("%s: the finding %q shows a key", row.changed, f.Message)
			}
		}
		if !found {
			t.Errorf("%s: got %+v, want a finding of severity %s with %q", row.changed, findings, row.severity, row.want)
		}
	}
}

// TestCheckTenantList guards against a missing and an empty list of tenants being taken for the same: without
// a list no route needs a key, with an empty one nobody is served.
func TestCheckTenantList(t *testing.T) {
	start := strings.Index(soundConfig, `,"tenants"`)
	if findings := configcheck.Check(decode(t, soundConfig[:start]+"}"), configcheck.Options{}); len(findings) > 0 {
		t.Errorf("findings without a list of tenants: %+v", findings)
	}
	findings := configcheck.Check(decode(t, soundConfig[:start]+`,"tenants":[]}`), configcheck.Options{})
	if len(findings) != 1 || findings[0].Severity != configcheck.Error {
		t.Errorf("got %+v, want one error for the empty list", findings)
	}
}

// TestDiff guards against a difference that is not shown, against equal versions that seem to differ, and
// against keys in the output.
func TestDiff(t *testing.T) {
	old := decode(t, soundConfig)
	next := decode(t, strings.NewReplacer(`"version":7`, `"version":9`, `"name":"r-b"`, `"name":"r-c"`, `"stretch":2,`, `"stretch":3,`,
		`"secret-2"`, `"secret-4"`, `"weight":2`, `"weight":5`, `"idleTimeoutMs":15000`, `"idleTimeoutMs":9000`).Replace(soundConfig))
	var lines []string
	for _, c := range configcheck.Diff(old, next) {
		lines = append(lines, c.Entry+": "+c.Message)
	}
	text := strings.Join(lines, "\n")
	want := strings.Join([]string{
		`version: 9, was 7`, `route "r-a": stretch: 3, was 2`, `route "r-b": removed`, `route "r-c": added`,
		`limits: time-out of idle connections: 9s, was 15s`, `tenant "t-a": keys: 1 added, 1 removed, 1 kept`, `tenant "t-b": weight: 5, was 2`,
	}, "\n")
	if text != want {
		t.Errorf("got\n%s\nwant\n%s", text, want)
	}
	if changes := configcheck.Diff(old, old); len(changes) != 1 || !strings.Contains(changes[0].Message, "ignore") {
		t.Errorf("got %+v, want only that a version that is not newer is ignored", changes)
	}
}
