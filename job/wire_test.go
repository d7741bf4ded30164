package job

import (
	"testing"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a caller and a metric that see only "remote" instead of the
// reason for which another daemon refused.
func TestReasonSurvivesCall(t *testing.T) {
	sent := errkind.New(errkind.NotReady, "shard_recovering", "job shard %s reads its records", "jobs/lombardy/1")
	got := fromWire(toWire(sent))
	if errkind.Of(got) != sent.Kind || errkind.ReasonOf(got) != sent.Reason || detailOf(got) != sent.Detail {
		t.Errorf("got %v, want %v", got, sent)
	}
}
