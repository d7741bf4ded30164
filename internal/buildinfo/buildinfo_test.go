package buildinfo

import (
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
)

// TestVersion guards against a version line that does not tell two builds apart, or that hides uncommitted changes.
func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26.0", Main: debug.Module{Version: "v1.2.3"}}
	if got, want := formatVersion("p", info), "p v1.2.3, go1.26.0"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	info.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}
	info.Main.Version = ""
	if got, want := formatVersion("p", info), "p (devel), commit 0123456789ab with local changes, go1.26.0"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := Version("p"); !strings.HasPrefix(got, "p ") || !strings.HasSuffix(got, runtime.Version()) {
		t.Errorf("version of this build: %q, want the program's name first and the Go version last", got)
	}
}
