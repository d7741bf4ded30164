// Command sassafrasctl is the command-line tool of operators and callers: it submits work,
// applies sheets and shows the state of the cell.
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
	exitOK             = 0
	exitRefused        = 1 // bad input, an invalid sheet, a refusal by a daemon, or a job that did not finish
	exitUsage          = 2 // the command line is not valid
	exitNoAnswer       = 3 // no daemon answered
	exitOutcomeUnknown = 4 // the outcome is not known; repeat with the same id
	exitNotConfirmed   = 5 // accepted, but not yet in force everywhere
	exitProblems       = 6 // doctor reported a problem
)

// exitError is an error with an exit code of its own, which exitCode returns instead of one
// derived from the kind of the error.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// tool holds the values of the global flags, which all commands use.
type tool struct {
	servers  *[]string
	output   *string
	retryFor *time.Duration
	timeout  *time.Duration
}

// command is a sub-command and the function that runs it once its flags are parsed.
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

// replaceDash returns args with each "-" replaced by stdinPath.
func replaceDash(args []string) []string {
	return lo.Map(args, func(a string, _ int) string {
		return lo.Ternary(a == "-", stdinPath, a)
	})
}

// globalFlags are the flags that need a command. The others, for help, version and completion, stand alone.
var globalFlags = []string{"server", "output", "retry-for", "timeout"}

// lacksCommand reports whether args are a valid command line except that no command is given.
func lacksCommand(app *kingpin.Application, args []string) bool {
	parsed, err := app.ParseContext(args)
	return err == nil && parsed.SelectedCommand == nil && lo.EveryBy(parsed.Elements, func(e *kingpin.ParseElement) bool {
		flag, ok := e.Clause.(*kingpin.FlagClause)
		return ok && slices.Contains(globalFlags, flag.Model().Name)
	})
}

// run runs the command line args, without the program name, and returns the exit code.
func run(args []string) int {
	app, commands := newApp()
	args = replaceDash(args)
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
			fmt.Fprintf(os.Stderr, "sassafrasctl: %s\n", errorMessage(err))
			return exitCode(err)
		}
	}
	return exitOK
}

// errorMessage returns the text that is printed for err. If no daemon answered, it says whether one may have
// received the call.
func errorMessage(err error) string {
	var noAnswer *client.NoAnswerError
	switch {
	case !errors.As(err, &noAnswer):
		return err.Error()
	case noAnswer.MaybeReceived:
		return err.Error() + "\nthe call may have reached a daemon; if it changes something, repeat it with the same id"
	default:
		return err.Error() + "\nnothing was sent, so the call had no effect"
	}
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var withCode *exitError
	var refusal *client.Error
	var noAnswer *client.NoAnswerError
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &refusal) && refusal.Outcome == errkind.Unknown:
		return exitOutcomeUnknown
	case errors.As(err, &noAnswer):
		return exitNoAnswer
	default:
		return exitRefused
	}
}

// client returns a client with the servers and timeouts of the global flags.
func (t *tool) client() (*client.Client, error) {
	return client.New(client.Config{Servers: *t.servers, Timeout: *t.timeout, RetryFor: *t.retryFor})
}

// call sends in as JSON, if it is not nil, and decodes the answer into out, if that is not nil.
func (t *tool) call(ctx context.Context, method, path string, in, out any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return c.Call(ctx, method, path, in, out)
}

// currentUser returns the login name of the user, the default author of changes, or "unknown".
func currentUser() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}
