package logline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func newTestLogger(out *bytes.Buffer, now *time.Time) zerolog.Logger {
	return zerolog.New(&writer{out: out, now: func() time.Time { return *now }, events: make(map[string]*eventWindow)})
}

// TestLineIsOneLineOfPairs guards against values with spaces or line breaks that split a line or forge a pair.
func TestLineIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := newTestLogger(&out, &now)
	log.Info().Str("event", "job_accepted").Str("job", "a b\nevent=x").Int("tasks", 3).Send()
	want := `level=info event=job_accepted job="a b\nevent=x" tasks=3` + "\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// TestDroppedLinesAreCounted guards against a rate limit that also drops lines of other events, and against lines that
// are dropped without their number being logged.
func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := newTestLogger(&out, &now)
	for range maxLinesPerWindow + 50 {
		log.Warn().Str("event", "retry").Send()
	}
	log.Info().Str("event", "other").Send()
	if n := strings.Count(out.String(), "event=retry"); n != maxLinesPerWindow {
		t.Errorf("%d lines of the repeated event, want %d", n, maxLinesPerWindow)
	}
	if !strings.Contains(out.String(), "event=other") {
		t.Error("the line of another event was dropped")
	}
	now = now.Add(rateWindow)
	log.Warn().Str("event", "retry").Send()
	if !strings.Contains(out.String(), "left_out=50") {
		t.Errorf("the number of dropped lines is missing, want left_out=50 in: %s", out.String()[len(out.String())-80:])
	}
}
