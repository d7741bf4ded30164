// Package buildinfo returns the line that a program prints for its flag --version.
package buildinfo

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// revisionLength is the number of characters of a commit id that are shown.
const revisionLength = 12

// Version returns one line with the name of the program, its module version, its commit and the Go version. What the
// build did not record is left out or shown as unknown or (devel).
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Sprintf("%s unknown version, %s", program, runtime.Version())
	}
	return formatVersion(program, info)
}

// formatVersion returns the version line for info.
func formatVersion(program string, info *debug.BuildInfo) string {
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
