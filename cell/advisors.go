package cell

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// shortAdviceLimit is the longest expected duration of a question that every daemon may ask.
	shortAdviceLimit = 40 * time.Millisecond
	// mediumAdviceLimit is the same for the daemons that are kept for short and medium ones.
	mediumAdviceLimit = 250 * time.Millisecond
	// noAdviceLimit stands for no limit: no question takes that long.
	noAdviceLimit = time.Hour
	// adviceTimeoutSlack bounds a question beyond its expected duration.
	adviceTimeoutSlack = 600 * time.Millisecond
	// adviceRetryWait is how long a daemon is not used after it failed to ask.
	adviceRetryWait = 500 * time.Millisecond
)

// adviceSender is a daemon through which questions go to the advisor. The
// advisor answers one question at a time for each daemon.
type adviceSender struct {
	busy        bool
	pausedUntil time.Duration // not used before
}

// adviceAssignment is a question with the daemon that asks it.
type adviceAssignment struct {
	request sched.AdviceRequest
	address string // empty for this daemon
}

// assignAdviceRequests gives questions to daemons that are free. Slow questions may keep all
// but a few daemons busy, so that quick ones never wait behind them. l.mu is held.
func (l *leadership) assignAdviceRequests(now time.Duration) []adviceAssignment {
	if l.daemon.settings.Advisor == nil {
		return nil
	}
	addresses := []string{""}
	for address, p := range l.peers {
		if now-p.registeredAt < maxPeerAge {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	spare := l.spareAdviceSenders(addresses, now)
	var assignments []adviceAssignment
	for i, address := range addresses {
		sender := l.adviceSenders[address]
		if sender == nil {
			sender = &adviceSender{}
			l.adviceSenders[address] = sender
		}
		if sender.busy || now < sender.pausedUntil {
			continue
		}
		limit := adviceLimit(i, len(addresses), now-l.startedAt)
		request, ok := l.engine.NextAdviceRequest(limit, spare > 0, now)
		if !ok {
			continue
		}
		if limit == noAdviceLimit {
			spare--
		}
		sender.busy = true
		assignments = append(assignments, adviceAssignment{request, address})
	}
	return assignments
}

// spareSenderDivisor is the part, one in so many, of the daemons for questions of any
// duration that stays free when a step asks a second question. At least one does.
const spareSenderDivisor = 4

// spareAdviceSenders returns how many daemons are free for second questions. l.mu is held.
func (l *leadership) spareAdviceSenders(addresses []string, now time.Duration) int {
	total, idle := 0, 0
	for i, address := range addresses {
		if adviceLimit(i, len(addresses), now-l.startedAt) < noAdviceLimit {
			continue
		}
		total++
		if a := l.adviceSenders[address]; a == nil || (!a.busy && now >= a.pausedUntil) {
			idle++
		}
	}
	return idle - max(1, total/spareSenderDivisor)
}

// soleDaemonGrace is how long a new leader asks only short questions itself while no
// other daemon has reported.
const soleDaemonGrace = time.Second

const (
	// shortSenderDivisor and mediumSenderDivisor are the parts of the daemons, one in so many, that are
	// kept for short questions and for short and medium ones. Each carries 25 short or
	// 4 medium questions a second, so that few are enough; one of each is kept at least.
	shortSenderDivisor, mediumSenderDivisor = 12, 8
)

// adviceLimit is the longest question for daemon i of n, after a time alone.
func adviceLimit(i, n int, sinceStart time.Duration) time.Duration {
	short := max(1, n/shortSenderDivisor)
	medium := max(1, n/mediumSenderDivisor)
	switch {
	case n == 1 && sinceStart < soleDaemonGrace:
		return shortAdviceLimit
	case n == 1:
		return noAdviceLimit
	case i < short:
		return shortAdviceLimit
	case i < short+medium && n > 2:
		return mediumAdviceLimit
	}
	return noAdviceLimit
}

// requestAdvice has one question asked.
func (l *leadership) requestAdvice(ctx context.Context, a adviceAssignment) {
	sent := l.clock()
	limited, cancel := context.WithTimeout(ctx, a.request.Expected+adviceTimeoutSlack)
	defer cancel()
	var tickets map[string]string
	var validFor time.Duration
	var err error
	if a.address == "" {
		tickets, validFor, err = l.daemon.settings.Advisor.Advise(limited, a.request.Step, a.request.Machines)
	} else {
		var out *reply
		out, err = l.daemon.conns.call(limited, a.address, rpcAdvise, &call{Step: a.request.Step, Machines: a.request.Machines})
		if out != nil {
			tickets, validFor = out.Tickets, out.Valid
		}
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		l.logger.Warn().Str("event", "ask_failed").Str("step", a.request.Step).Str("daemon", a.address).Err(err).Send()
	}
	l.daemon.settings.Metrics.AdviceRequests.WithLabelValues(outcome).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	sender := l.adviceSenders[a.address]
	sender.busy = false
	if err != nil {
		sender.pausedUntil = now + adviceRetryWait
	}
	l.engine.AdviceAnswered(a.request, tickets, validFor, err == nil, sent, now)
	notify(l.planSignal)
}
