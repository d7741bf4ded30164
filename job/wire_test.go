package job

import (
	"testing"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against an error that loses its kind, reason or detail in a call. Callers and
// metrics would then not see the reason that the other daemon gave.
func TestReasonSurvivesCall(t *testing.T) {
	sent := errkind.New(errkind.NotReady, "shard_recovering",
		"job shard %s is still reading its records from the log", "jobs/lombardy/1")
	got := fromWire(toWire(sent))
	if errkind.Of(got) != sent.Kind || errkind.ReasonOf(got) != sent.Reason || detailOf(got) != sent.Detail {
		t.Errorf("got %v, want %v", got, sent)
	}
}
