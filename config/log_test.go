package config

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against an accepted change that the log does not attribute to its operator.
func TestAcceptedChangeNamesOperator(t *testing.T) {
	var out bytes.Buffer // written by the goroutine of the publisher before it answers
	d := startDaemon(t, newFakeLog(), func(_ *StoreConfig, pc *PublisherConfig) { pc.Logger = zerolog.New(&out) }).awaitReady(t)
	d.submit(t, proposal("change-1", 0, Strict, teamOp("a", 4)))
	if line := out.String(); !strings.Contains(line, `"change":"change-1"`) || !strings.Contains(line, `"by":"anna"`) {
		t.Errorf("line lacks change or operator: %s", line)
	}
}
