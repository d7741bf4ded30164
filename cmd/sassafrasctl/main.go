// Command sassafrasctl is the tool of operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"slices"
	"syscall"
	"time"
	_ "time/tzdata" // operators' machines may lack the time zone database

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/client"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/buildinfo"
)

// The exit codes. docs/sassafrasctl.md lists them.
const (
	exitOK       = 0
	exitRefused  = 1 // bad input, a fault in a sheet, or a refusal by a daemon
	exitUsage    = 2
	exitNoAnswer = 3 // no daemon answered
	exitUnknown  = 4 // the outcome is not known; repeat with the same id
	exitPartial  = 5 // accepted, but not yet in force everywhere
	exitProblems = 6 // doctor found something that the daemon cannot do
)

// exitError carries an exit code other than that of the error's kind.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// tool holds the global flags.
type tool struct {
	servers  *[]string
	output   *string
	retryFor *time.Duration
	timeout  *time.Duration
}

// command is a sub-command and what runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() { os.Exit(run(os.Args[1:])) }

// newApp returns the command line with all its commands.
func newApp() (*kingpin.Application, []command) {
	app := kingpin.New("sassafrasctl", "Submit work, apply the morning sheet, and see what the cell does.\n\n"+
		"Shell completion: eval \"$(sassafrasctl --completion-script-bash)\"")
	app.HelpFlag.Short('h')
	app.Version(buildinfo.Version("sassafrasctl")).UsageWriter(os.Stdout)
	t := &tool{
		servers: app.Flag("server", "Base URL of a daemon; repeat it to name several, which are tried in turn. The variable has one URL per line.").
			Short('s').Envar("SASSAFRAS_SERVERS").Default("http://127.0.0.1:8080").Strings(),
		output:   app.Flag("output", "table or json.").Short('o').Default("table").Enum("table", "json"),
		retryFor: app.Flag("retry-for", "How long calls that are safe to repeat are repeated.").Default("10s").Duration(),
		timeout:  app.Flag("timeout", "Longest wait for one daemon.").Default("15s").Duration(),
	}
	var commands []command
	commands = append(commands, t.jobCommands(app)...)
	commands = append(commands, t.requestCommand(app))
	commands = append(commands, t.sheetCommands(app)...)
	commands = append(commands, t.cellCommands(app)...)
	return app, commands
}

// stdinPath replaces "-", which kingpin reads as a flag without a name.
const stdinPath = "/dev/stdin"

// withStdin returns args with each "-" replaced by stdinPath.
func withStdin(args []string) []string {
	return lo.Map(args, func(a string, _ int) string {
		return lo.Ternary(a == "-", stdinPath, a)
	})
}

// globalFlags are the flags that may stand without a command only by mistake; help, version and completion may.
var globalFlags = []string{"server", "output", "retry-for", "timeout"}

// lacksCommand reports whether args are a valid command line except that no command is given.
func lacksCommand(app *kingpin.Application, args []string) bool {
	line, err := app.ParseContext(args)
	return err == nil && line.SelectedCommand == nil && lo.EveryBy(line.Elements, func(e *kingpin.ParseElement) bool {
		flag, ok := e.Clause.(*kingpin.FlagClause)
		return ok && slices.Contains(globalFlags, flag.Model().Name)
	})
}

func run(args []string) int {
	app, commands := newApp()
	args = withStdin(args)
	if lacksCommand(app, args) {
		fmt.Fprintln(os.Stderr, "sassafrasctl: no command given, see sassafrasctl --help")
		return exitUsage
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sassafrasctl: %s, see sassafrasctl --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != name {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "sassafrasctl: %s\n", message(err))
			return exitCode(err)
		}
	}
	return exitOK
}

// message returns the text of an error. If no daemon answered, it tells whether the call may have reached one.
func message(err error) string {
	var none *client.NoAnswerError
	switch {
	case !errors.As(err, &none):
		return err.Error()
	case none.MaybeReceived:
		return err.Error() + "\nthe call may have reached a daemon; if it changes something, repeat it with the same id"
	default:
		return err.Error() + "\nnothing was sent, so the call had no effect"
	}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	var refusal *client.Error
	var none *client.NoAnswerError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refusal) && refusal.Outcome == errkind.Unknown:
		return exitUnknown
	case errors.As(err, &none):
		return exitNoAnswer
	default:
		return exitRefused
	}
}

func (t *tool) client() (*client.Client, error) {
	return client.New(client.Config{Servers: *t.servers, Timeout: *t.timeout, RetryFor: *t.retryFor})
}

// call sends in and decodes the answer into out.
func (t *tool) call(ctx context.Context, method, path string, in, out any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return c.Call(ctx, method, path, in, out)
}

// operator returns the name that changes are recorded under.
func operator() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}
