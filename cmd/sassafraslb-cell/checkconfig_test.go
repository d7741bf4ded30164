package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// TestCheckConfigExitCodes guards against a script that sends a configuration although the check found errors,
// or that cannot tell warnings from errors, and against a report that is not JSON.
func TestCheckConfigExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const limits = `"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
	const route = `{"name":"r","host":"a.example","pathPrefix":"/jobs/","service":"svc","stretch":2}`
	clean := write("clean.json", `{"version":2,"routes":[`+route+`],"services":[{"name":"svc"}],`+limits+`}`)
	for _, row := range []struct {
		file, against string
		want          int
	}{
		{clean, "", exitClean},
		{clean, clean, exitClean},
		{write("warning.json", `{"version":2,"routes":[`+route+`],"services":[{"name":"svc"},{"name":"x"}],`+limits+`}`), "", exitWarnings},
		{write("error.json", `{"version":2,"routes":[`+route+`],"services":[],`+limits+`}`), clean, exitErrors},
		{write("broken.json", `{"version":`), "", exitUnreadable},
		{filepath.Join(dir, "missing.json"), "", exitUnreadable},
		{clean, filepath.Join(dir, "missing.json"), exitUnreadable},
	} {
		for _, asJSON := range []bool{false, true} {
			var out, errOut bytes.Buffer
			options := configOptions{file: row.file, against: row.against, recordBytes: 262144, json: asJSON}
			if got := runCheckConfig(options, &out, &errOut); got != row.want {
				t.Errorf("%s against %q: exit code %d, want %d; %s%s", row.file, row.against, got, row.want, &out, &errOut)
			}
			if asJSON && row.want != exitUnreadable && !json.Valid(out.Bytes()) {
				t.Errorf("%s: the report is not JSON: %s", row.file, &out)
			}
		}
	}
}
