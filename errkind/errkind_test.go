package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against docs/errors.md, which callers read, disagreeing with Table.
func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	if rows != len(Table) {
		t.Errorf("docs/errors.md has %d rows, Table has %d", rows, len(Table))
	}
	for k, a := range Table {
		want := fmt.Sprintf("| `%s` | %d | `%s` | `%s` |", k, a.Status, a.Outcome, a.Retry)
		if !strings.Contains(string(page), want) {
			t.Errorf("docs/errors.md lacks the row %s", want)
		}
	}
}

// Guards against a kind whose retry rule is unsafe: a retry without the same
// request id is allowed only if the work certainly did not run.
func TestRetryFollowsOutcome(t *testing.T) {
	for k, a := range Table {
		if a.Retry == RetryBackoff && a.Outcome != NotRun {
			t.Errorf("%s: retry with backoff needs outcome not_run, has %s", k, a.Outcome)
		}
		if a.Outcome == Unknown && a.Retry != RetrySameID {
			t.Errorf("%s: an unknown outcome may be retried only with the same request id", k)
		}
	}
}

// Guards against errors that lose their kind when they are wrapped on the way to the caller.
func TestOfFindsWrappedKind(t *testing.T) {
	err := errors.Wrap(New(RateLimited, "customer_rate", "10 per second"), "entry")
	if Of(err) != RateLimited || ReasonOf(err) != "customer_rate" {
		t.Errorf("got %s/%s, want rate_limited/customer_rate", Of(err), ReasonOf(err))
	}
	if Of(errors.New("plain")) != InternalFailure {
		t.Error("an unclassified error must be internal")
	}
}
