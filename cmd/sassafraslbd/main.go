// Command sassafraslbd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	_ "time/tzdata" // entry hosts may lack the time zone database

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/internal/buildinfo"
	"github.com/sassafraslb/sassafraslb/internal/logline"
	"github.com/sassafraslb/sassafraslb/settings"
)

func main() {
	app := kingpin.New("sassafraslbd", "Cluster scheduler daemon: routes requests to executors and places jobs on workers.")
	app.Version(buildinfo.Version("sassafraslbd")).UsageWriter(os.Stdout)
	run := app.Command("run", "Run the daemon until SIGTERM or SIGINT, then shut down gracefully: open calls are finished.").Default()
	runConfig := run.Flag("config", "Settings file: JSON with comments (docs/settings.md).").Required().ExistingFile()
	check := app.Command("check", "Check a settings file, report every fault with field and line, and exit 1 if there is one.")
	checkConfig := check.Flag("config", "Settings file.").Required().ExistingFile()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		os.Exit(runDaemon(*runConfig))
	case check.FullCommand():
		os.Exit(checkSettings(*checkConfig))
	}
}

// checkSettings checks a settings file and returns the exit code, 1 if the file has a fault.
func checkSettings(path string) int {
	if _, err := settings.Load(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println("settings are valid")
	return 0
}

// runDaemon runs the daemon until SIGTERM or SIGINT and returns the exit code, 1 if the daemon
// cannot start or fails.
func runDaemon(path string) int {
	signal.Ignore(syscall.SIGHUP) // settings are read at the start only, and its default action would cut open calls
	settings, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	zerolog.SetGlobalLevel(level)
	log := logline.New(os.Stderr).With().Str("daemon", settings.DaemonID).Logger()
	d, err := daemon.New(settings, log)
	if err != nil {
		log.Error().Str("event", "start_failed").Err(err).Send()
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.Run(ctx); err != nil {
		log.Error().Str("event", "daemon_failed").Err(err).Send()
		return 1
	}
	log.Info().Str("event", "daemon_stopped").Send()
	return 0
}
