package request

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
)

// admission applies the limits of customers and classes at the entry. A limit
// holds for the whole cell, so each of n entries applies its n-th part.
type admission struct {
	mu      sync.Mutex
	open    int
	maxOpen int
	entries map[admissionKey]*admissionEntry
}

type admissionKey struct {
	customer string
	class    Class
}

type admissionEntry struct {
	limit  config.Limit
	n      int
	bucket *rate.Limiter
	open   int
}

func newAdmission(maxOpen int) *admission {
	return &admission{maxOpen: maxOpen, entries: make(map[admissionKey]*admissionEntry)}
}

func limitOf(c config.Customer, class Class) config.Limit {
	if l, ok := c.Limits[string(class)]; ok {
		return l
	}
	return c.Limits["*"]
}

// enter admits one call; done must be called at its end. n is the number of entries.
func (a *admission) enter(c config.Customer, class Class, n int) (done func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open >= a.maxOpen {
		return nil, errkind.New(errkind.Overloaded, "entry_full", "%d open calls", a.open)
	}
	e := a.entry(admissionKey{c.Name, class}, limitOf(c, class), max(n, 1))
	if l := e.limit.Concurrent; l > 0 && e.open >= (l+e.n-1)/e.n {
		return nil, errkind.New(errkind.RateLimited, "concurrency_limit", "%d open calls of %s", e.open, c.Name)
	}
	if e.bucket != nil && !e.bucket.Allow() {
		return nil, errkind.New(errkind.RateLimited, "rate_limit", "%s %s", c.Name, class)
	}
	a.open++
	e.open++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open--
		e.open--
	}, nil
}

func (a *admission) entry(k admissionKey, l config.Limit, n int) *admissionEntry {
	e := a.entries[k]
	if e == nil {
		e = &admissionEntry{}
		a.entries[k] = e
	}
	if e.limit == l && e.n == n {
		return e
	}
	e.limit, e.n = l, n
	if l.PerSecond <= 0 {
		e.bucket = nil
		return e
	}
	per, burst := rate.Limit(l.PerSecond/float64(n)), max(1, l.Burst/n)
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(per, burst)
	} else {
		e.bucket.SetLimit(per)
		e.bucket.SetBurst(burst)
	}
	return e
}

// retryBudget allows retries in proportion to calls.
type retryBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

func newRetryBudget(share, burst float64) *retryBudget {
	return &retryBudget{share: share, burst: burst, tokens: burst}
}

func (b *retryBudget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
