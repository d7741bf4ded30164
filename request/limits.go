package request

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
)

// admission applies the limits of customers and classes at the entry. A limit
// holds for the whole cell, so that each of n entries applies an n-th of it.
type admission struct {
	mu      sync.Mutex
	open    int
	maxOpen int
	states  map[admissionKey]*admissionState
}

type admissionKey struct {
	customer string
	class    Class
}

// admissionState is what admission tracks for one customer and class.
type admissionState struct {
	limit      config.Limit
	entryCount int           // entries among which limit is split
	bucket     *rate.Limiter // nil without a rate limit
	open       int
}

func newAdmission(maxOpen int) *admission {
	return &admission{maxOpen: maxOpen, states: make(map[admissionKey]*admissionState)}
}

// limitOf returns the limit of c for the class, or else the one for all classes, "*".
func limitOf(c config.Customer, class Class) config.Limit {
	if l, ok := c.Limits[string(class)]; ok {
		return l
	}
	return c.Limits["*"]
}

// enter admits one call; done must be called at its end. entryCount is the number of
// entries among which the limits are split.
func (a *admission) enter(c config.Customer, class Class, entryCount int) (done func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open >= a.maxOpen {
		return nil, errkind.New(errkind.Overloaded, "entry_full", "this entry has %d open calls", a.open)
	}
	state := a.stateFor(admissionKey{c.Name, class}, limitOf(c, class), max(entryCount, 1))
	if l := state.limit.Concurrent; l > 0 && state.open >= (l+state.entryCount-1)/state.entryCount {
		return nil, errkind.New(errkind.RateLimited, "concurrency_limit", "%d open calls of %s", state.open, c.Name)
	}
	if state.bucket != nil && !state.bucket.Allow() {
		return nil, errkind.New(errkind.RateLimited, "rate_limit", "rate limit of customer %s for class %s", c.Name, class)
	}
	a.open++
	state.open++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open--
		state.open--
	}, nil
}

// stateFor returns the state for k, updated to the limit and the number of entries.
func (a *admission) stateFor(k admissionKey, l config.Limit, entryCount int) *admissionState {
	state := a.states[k]
	if state == nil {
		state = &admissionState{}
		a.states[k] = state
	}
	if state.limit == l && state.entryCount == entryCount {
		return state
	}
	state.limit, state.entryCount = l, entryCount
	if l.PerSecond <= 0 {
		state.bucket = nil
		return state
	}
	perSecond, burst := rate.Limit(l.PerSecond/float64(entryCount)), max(1, l.Burst/entryCount)
	if state.bucket == nil {
		state.bucket = rate.NewLimiter(perSecond, burst)
	} else {
		state.bucket.SetLimit(perSecond)
		state.bucket.SetBurst(burst)
	}
	return state
}

// retryBudget is a token bucket that allows retries in proportion to calls.
type retryBudget struct {
	mu      sync.Mutex
	perCall float64 // tokens added per call
	burst   float64 // most tokens kept
	tokens  float64
}

func newRetryBudget(perCall, burst float64) *retryBudget {
	return &retryBudget{perCall: perCall, burst: burst, tokens: burst}
}

// countCall adds the tokens of one call.
func (b *retryBudget) countCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.perCall)
}

// allowRetry takes one token for a retry. It returns false if there is none.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
