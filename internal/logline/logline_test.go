package logline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func newTest(out *bytes.Buffer, now *time.Time) zerolog.Logger {
	return zerolog.New(&writer{out: out, now: func() time.Time { return *now }, events: make(map[string]*window)})
}

// Guards against values with spaces or line breaks that would split a line or forge pairs.
func TestLineIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := newTest(&out, &now)
	log.Info().Str("event", "job_accepted").Str("job", "a b\nevent=x").Int("tasks", 3).Send()
	want := `level=info event=job_accepted job="a b\nevent=x" tasks=3` + "\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// Guards against a flood of one event hiding others, and against lines left out without a count.
func TestFloodIsCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := newTest(&out, &now)
	for range floodLimit + 50 {
		log.Warn().Str("event", "retry").Send()
	}
	log.Info().Str("event", "other").Send()
	if n := strings.Count(out.String(), "event=retry"); n != floodLimit {
		t.Errorf("%d lines of the flood, want %d", n, floodLimit)
	}
	if !strings.Contains(out.String(), "event=other") {
		t.Error("the flood hid another event")
	}
	now = now.Add(floodSpan)
	log.Warn().Str("event", "retry").Send()
	if !strings.Contains(out.String(), "left_out=50") {
		t.Errorf("count of lines left out is missing: %s", out.String()[len(out.String())-80:])
	}
}
