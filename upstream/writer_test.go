package upstream_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// Guards against a log line about a lost append answer that does not name the record, which
// an operator needs to find it.
func TestLostAnswerNamesRecord(t *testing.T) {
	l := standin.NewLog(standin.LogConfig{})
	l.SetFaults(standin.LogFaults{LoseAnswers: -1})
	srv := httptest.NewServer(l)
	defer srv.Close()
	var out bytes.Buffer
	w := upstream.NewWriter(upstream.WriterConfig{
		Log: upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 5 * time.Second}), Stream: "s", Logger: zerolog.New(&out),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	e := envelope(t, 1)
	_, err := w.Append(ctx, e)
	cancel()
	<-done
	if err != nil {
		t.Fatal(err)
	}
	if logged := out.String(); !strings.Contains(logged, `"record":"`+e.ID+`"`) || !strings.Contains(logged, `"count":1`) {
		t.Errorf("log line lacks record %s or count 1: %s", e.ID, logged)
	}
}
