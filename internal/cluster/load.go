package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/client"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// Attempt is one call of a caller and the result that the caller saw.
type Attempt struct {
	ID        string          // request id
	Class     string          // class of the request
	Outcome   errkind.Outcome // as stated by the refusal; Ran if an answer came, Unknown if neither came
	Answered  bool            // a complete answer came
	OwnAnswer bool            // the answer belongs to this request: it repeats its body
	Kind      errkind.Kind    // of the refusal; empty if no daemon answered
	Reason    string          // of the refusal
	Err       string          // error that the caller got instead of an answer; empty if Answered
	Waited    time.Duration   // waiting time that the daemon stated in the answer
	Took      time.Duration   // duration of the call at the caller
}

// LoadGenerator runs callers that each send requests of all classes, one after another.
type LoadGenerator struct {
	Targets  func() []string // base URLs of the daemons that a balancer would use now; never empty
	Customer string
	Callers  int
	Pause    time.Duration // of a caller between two requests
	Deadline time.Duration // of a request, from the start of the call
	// MaxAttempts bounds the calls for one request. Each goes to the next daemon. A class
	// that may not run twice keeps the request id in all of them; others get a new id.
	MaxAttempts int
}

// classes holds the request classes, which callers use in turn.
var classes = []string{"valuation", "quote", "reconciliation", "nudge", "batch"}

// repeatable reports whether requests of a class may run more than once.
func repeatable(class string) bool { return class != "quote" && class != "nudge" }

// Run sends requests until ctx ends and returns every attempt. Requests under way when
// ctx ends are completed.
func (l *LoadGenerator) Run(ctx context.Context) []Attempt {
	var mu sync.Mutex
	var all []Attempt
	var wg sync.WaitGroup
	var turn atomic.Int64
	for caller := range l.Callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				attempts := l.request(fmt.Sprintf("caller %d request %d", caller, n), classes[(caller+n)%len(classes)], &turn)
				mu.Lock()
				all = append(all, attempts...)
				mu.Unlock()
				time.Sleep(l.Pause)
			}
		})
	}
	wg.Wait()
	return all
}

// request sends one request, with up to MaxAttempts calls until an answer comes. turn
// selects the daemon of each call.
func (l *LoadGenerator) request(body, class string, turn *atomic.Int64) []Attempt {
	var out []Attempt
	id := ulid.Make().String()
	for n := 0; n < l.MaxAttempts; n++ {
		if n > 0 && repeatable(class) {
			id = ulid.Make().String()
		}
		targets := l.Targets()
		target := targets[int(turn.Add(1))%len(targets)]
		a := l.call(target, id, class, []byte(body+" id "+id))
		out = append(out, a)
		if a.Answered {
			return out
		}
		time.Sleep(50 * time.Millisecond << n)
	}
	return out
}

// call makes one call to the daemon at the base URL target.
func (l *LoadGenerator) call(target, id, class string, body []byte) Attempt {
	a := Attempt{ID: id, Class: class, Outcome: errkind.Unknown}
	c, err := client.New(client.Config{Servers: []string{target}, Timeout: l.Deadline + 5*time.Second, HTTP: httpClient})
	if err != nil {
		return a
	}
	start := time.Now()
	resp, err := c.Do(context.Background(), client.Request{
		Method: http.MethodPost, Path: "/v1/requests/" + class, Body: body,
		Header: http.Header{
			"Sassafras-Customer": {l.Customer}, "Sassafras-Request-Id": {id},
			"Sassafras-Deadline-Ms": {strconv.FormatInt(l.Deadline.Milliseconds(), 10)},
			"Content-Type":          {"application/octet-stream"},
		},
	})
	a.Took = time.Since(start)
	if err != nil {
		a.Err = err.Error()
	}
	var refusal *client.Error
	switch {
	case err == nil:
		a.Outcome, a.Answered, a.OwnAnswer = errkind.Ran, true, bytes.Equal(resp.Body, body)
		us, _ := strconv.ParseInt(resp.Header.Get("Sassafras-Waited-Us"), 10, 64)
		a.Waited = time.Duration(us) * time.Microsecond
	case errors.As(err, &refusal):
		a.Outcome, a.Kind, a.Reason = refusal.Outcome, refusal.Kind, refusal.Reason
	}
	return a
}

// httpClient is shared by all callers, so that they reuse connections.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// CheckAnswers compares the results that callers saw with the executors' records. It
// returns a description of every answer of another request, of every non-repeatable
// request that ran twice, and of every stated outcome that is wrong.
func CheckAnswers(attempts []Attempt, records map[string]standin.ExecutorRecords) []string {
	runs := make(map[string]int)
	for _, r := range records {
		for _, run := range r.Runs {
			runs[run.ID]++
		}
	}
	var out []string
	// Only the last attempt with an id tells whether the request ran: an earlier one may be
	// refused as not run before a later one runs.
	last := make(map[string]Attempt)
	for _, a := range attempts {
		if a.Answered && !a.OwnAnswer {
			out = append(out, fmt.Sprintf("%s %s: got the answer of another request", a.Class, a.ID))
		}
		last[a.ID] = a
	}
	for id, a := range last {
		if !repeatable(a.Class) && runs[id] > 1 {
			out = append(out, fmt.Sprintf("%s %s ran %d times", a.Class, id, runs[id]))
		}
		if a.Outcome == errkind.NotRun && runs[id] > 0 {
			out = append(out, fmt.Sprintf("%s %s was told not_run (%s %s) but ran", a.Class, id, a.Kind, a.Reason))
		}
		if a.Outcome == errkind.Ran && runs[id] == 0 {
			out = append(out, fmt.Sprintf("%s %s was told ran (%s %s) but did not", a.Class, id, a.Kind, a.Reason))
		}
	}
	return out
}
