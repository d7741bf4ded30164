package main

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/client"
)

// Guards against an operator who is left to guess whether a call without an answer had an effect.
func TestNoAnswerTellsWhetherSent(t *testing.T) {
	for _, c := range []struct {
		sent bool
		want string
	}{{false, "nothing was sent"}, {true, "may have reached a daemon"}} {
		err := errors.Wrap(&client.NoAnswerError{Attempts: []string{"x"}, MaybeReceived: c.sent}, "job 1")
		if got := errorMessage(err); !strings.Contains(got, c.want) || !strings.Contains(got, "job 1") {
			t.Errorf("sent %v: message %q lacks %q or the id", c.sent, got, c.want)
		}
		if got := exitCode(err); got != exitNoAnswer {
			t.Errorf("sent %v: exit code %d, want %d", c.sent, got, exitNoAnswer)
		}
	}
}

// Guards against a command line without a command that counts as a success, and against help or completion being refused.
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
