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
	}{{false, "nothing was sent"}, {true, "may have had an effect"}} {
		err := errors.Wrap(&client.NoAnswerError{Tried: []string{"x"}, Sent: c.sent}, "job 1")
		if got := message(err); !strings.Contains(got, c.want) || !strings.Contains(got, "job 1") {
			t.Errorf("sent %v: message %q lacks %q or the id", c.sent, got, c.want)
		}
		if got := exitCode(err); got != exitNoAnswer {
			t.Errorf("sent %v: exit code %d, want %d", c.sent, got, exitNoAnswer)
		}
	}
}
