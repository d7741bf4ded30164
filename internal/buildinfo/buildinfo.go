// Package buildinfo describes the running program for its flag --version.
package buildinfo

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// revisionLength is the length to which commit ids are cut.
const revisionLength = 12

// Version returns one line with the name of the program, its module version, the commit and the Go version, as far as
// the build recorded them.
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Sprintf("%s unknown version, %s", program, runtime.Version())
	}
	return describe(program, info)
}

func describe(program string, info *debug.BuildInfo) string {
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	line := program + " " + version
	settings := make(map[string]string, len(info.Settings))
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	if revision := settings["vcs.revision"]; revision != "" {
		line += ", commit " + revision[:min(len(revision), revisionLength)]
		if settings["vcs.modified"] == "true" {
			line += " with local changes"
		}
	}
	return line + ", " + info.GoVersion
}
