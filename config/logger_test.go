package config

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a log line for an accepted change that lacks the change's id or the
// operator who submitted it.
func TestAcceptedChangeIsLoggedWithOperator(t *testing.T) {
	var out bytes.Buffer // the publisher writes the line before it responds
	d := startDaemon(t, newFakeLog(), func(_ *StoreConfig, pc *PublisherConfig) { pc.Logger = zerolog.New(&out) }).awaitReady(t)
	d.submit(t, newProposal("change-1", 0, Strict, teamOp("a", 4)))
	if line := out.String(); !strings.Contains(line, `"change":"change-1"`) || !strings.Contains(line, `"by":"anna"`) {
		t.Errorf("log line lacks the change or the operator: %s", line)
	}
}
