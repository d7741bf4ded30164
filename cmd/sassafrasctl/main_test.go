package main

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/client"
)

// Guards against a message that does not say whether a call that no daemon answered may have had
// an effect, or that lacks the id needed to repeat it.
func TestNoAnswerMessageSaysWhetherReceived(t *testing.T) {
	for _, c := range []struct {
		maybeReceived bool
		want          string
	}{{false, "nothing was sent"}, {true, "may have reached a daemon"}} {
		err := errors.Wrap(&client.NoAnswerError{Attempts: []string{"x"}, MaybeReceived: c.maybeReceived}, "job 1")
		if got := errorMessage(err); !strings.Contains(got, c.want) || !strings.Contains(got, "job 1") {
			t.Errorf("maybe received %v: message %q lacks %q or the id", c.maybeReceived, got, c.want)
		}
		if got := exitCode(err); got != exitNoAnswer {
			t.Errorf("maybe received %v: exit code %d, want %d", c.maybeReceived, got, exitNoAnswer)
		}
	}
}

// Guards against exit code 0 for a command line without a command, and against refusing help,
// version or completion, which need none.
func TestMissingCommandIsUsageError(t *testing.T) {
	for _, args := range [][]string{{}, {"-s", "http://127.0.0.1:1"}, {"--output", "json", "--timeout", "1s"}} {
		if got := run(args); got != exitUsage {
			t.Errorf("%q: exit code %d, want %d", args, got, exitUsage)
		}
	}
	for _, args := range [][]string{{"--help"}, {"--version"}, {"help"}, {"top"}, {"--completion-script-bash"}, {"--completion-bash", "s"}} {
		app, _ := newApp()
		if lacksCommand(app, args) {
			t.Errorf("%q counts as lacking a command", args)
		}
	}
}
