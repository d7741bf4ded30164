package cell

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// shortAdviceLimit is the longest expected duration of a short advice request. Every daemon may
	// send short requests.
	shortAdviceLimit = 40 * time.Millisecond
	// mediumAdviceLimit is the longest expected duration of a medium advice request.
	mediumAdviceLimit = 250 * time.Millisecond
	// noAdviceLimit stands for no limit: no advice request takes that long.
	noAdviceLimit = time.Hour
	// adviceTimeoutSlack is the part of an advice request's timeout beyond its expected duration.
	adviceTimeoutSlack = 600 * time.Millisecond
	// adviceRetryWait is how long no advice request is sent through a daemon after one failed.
	adviceRetryWait = 500 * time.Millisecond
)

// adviceSender is the state of a daemon through which advice requests are sent. The advisor
// answers one request at a time for each daemon.
type adviceSender struct {
	busy        bool
	pausedUntil time.Duration // no request is sent through it before
}

// adviceAssignment is an advice request and the daemon that sends it to the advisor.
type adviceAssignment struct {
	request sched.AdviceRequest
	address string // empty for this daemon
}

// assignAdviceRequests assigns advice requests to idle daemons. Long requests may keep all but a
// few daemons busy, so that short ones never wait behind them. l.mu must be held.
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

// spareSenderDivisor gives the share of the daemons for requests of any duration, one in so many
// and at least one, that no extra request takes. An extra request is a further one of a step that
// has a request in flight.
const spareSenderDivisor = 4

// spareAdviceSenders returns how many daemons may send extra requests of steps; a result of 0 or
// less means none. l.mu must be held.
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

// soleDaemonGrace is how long a new leader sends only short requests itself while no other daemon
// has registered.
const soleDaemonGrace = time.Second

const (
	// shortSenderDivisor and mediumSenderDivisor give the shares of the daemons, one in so many and
	// at least one, that are reserved for short requests, and for short and medium ones. A daemon
	// sends 25 short or 4 medium requests a second, so a few are enough. With two daemons none is
	// reserved for medium requests.
	shortSenderDivisor, mediumSenderDivisor = 12, 8
)

// adviceLimit returns the longest expected duration of a request that daemon i of n, in the order
// of addresses, may send. The leader itself is daemon 0. sinceStart is the time since it started.
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

// requestAdvice sends an advice request through the assigned daemon, and hands the answer or the
// failure to the engine. After a failure the daemon gets no request for adviceRetryWait.
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
