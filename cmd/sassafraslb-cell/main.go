// Command sassafraslb-cell is the daemon of a cell whose log and machines belong to the users'
// platform (see package cell). The platform also writes its settings file.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sassafraslb/sassafraslb/internal/buildinfo"
	"github.com/sassafraslb/sassafraslb/platform"
)

// gcPercent is the garbage collector's target percentage (GOGC) if the process has a memory limit. It is
// below the default of 100: processor time is spent to save memory, because the daemon runs on every host.
const gcPercent = 50

// memoryShare is the share of the process's memory limit that the Go heap and runtime may use; the
// rest is left for the C library and the kernel's buffers.
const memoryShare = 0.7

func main() {
	app := kingpin.New("sassafraslb-cell", "Scheduler daemon for a cell on the users' platform.")
	app.Version(buildinfo.Version("sassafraslb-cell")).UsageWriter(os.Stdout)
	entry := app.Command("entry", "Serve callers until SIGTERM or SIGINT, then stop without cutting open requests.").Default()
	metricsAddress := entry.Flag("metrics", "IP:port of the metrics. Metrics are not served if it is empty.").String()
	check := app.Command("check", "Check the settings file and exit 1 if it has a fault.")
	checkConfig := app.Command("check-config", "Check a configuration before it is sent. Exits 0 without findings, "+
		"1 with errors, 2 with warnings only, 3 if a file cannot be read or decoded.")
	var options configOptions
	checkConfig.Arg("file", "Configuration to be sent, JSON.").Required().StringVar(&options.file)
	checkConfig.Flag("against", "Configuration in force, JSON; the differences are shown.").StringVar(&options.against)
	checkConfig.Flag("record-bytes", "Longest record that the log takes, in bytes.").Default("262144").Int64Var(&options.recordBytes)
	checkConfig.Flag("json", "Print the findings and differences as JSON.").BoolVar(&options.json)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case entry.FullCommand():
		os.Exit(run(*metricsAddress))
	case check.FullCommand():
		os.Exit(checkSettings())
	case checkConfig.FullCommand():
		os.Exit(runCheckConfig(options, os.Stdout, os.Stderr))
	}
}

// checkSettings checks the settings file and returns the exit code, 1 if the file has a fault.
func checkSettings() int {
	if _, err := platform.LoadSettings(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println("settings are valid")
	return 0
}

// run runs the daemon until SIGTERM or SIGINT and returns the exit code, 1 if the daemon cannot start or
// fails. It serves metrics at metricsAddress unless that is empty.
func run(metricsAddress string) int {
	log.SetOutput(platform.NewStandardLog(os.Stderr))
	signals := platform.NotifySignals()
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if settings.MemoryLimitBytes > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitBytes)))
	}
	if err := platform.Run(context.Background(), settings, signals, metricsAddress, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
