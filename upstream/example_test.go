package upstream_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// A Writer reports the offset after it has read the record back. Here it resolves an append
// whose answer was lost.
func Example() {
	log := standin.NewLog(standin.LogConfig{})
	log.SetFaults(standin.LogFaults{LoseAnswers: 1})
	srv := httptest.NewServer(log)
	defer srv.Close()

	client := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL})
	w := upstream.NewWriter(upstream.WriterConfig{Log: client, Stream: upstream.StreamJobs})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.Run(ctx) }()

	e, err := upstream.NewEnvelope("job_accepted", map[string]string{"job": "dues-2026-12"})
	if err != nil {
		fmt.Println(err)
		return
	}
	offset, err := w.Append(ctx, e)
	fmt.Println(offset, err)
	// Output: 0 <nil>
}
