package cell

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// shortAsk is the longest expected duration of a question that every daemon may ask.
	shortAsk = 40 * time.Millisecond
	// mediumAsk is the same for the daemons that are kept for short and medium ones.
	mediumAsk = 250 * time.Millisecond
	// unlimitedAsk stands for no limit: no question takes that long.
	unlimitedAsk = time.Hour
	// askSlack bounds a question beyond its expected duration.
	askSlack = 600 * time.Millisecond
	// advisorPause is how long a daemon is not used after it failed to ask.
	advisorPause = 500 * time.Millisecond
)

// advisorState is a daemon through which questions go to the advisor. The
// advisor answers one question at a time for each daemon.
type advisorState struct {
	busy  bool
	after time.Duration // not used before
}

// assigned is a question with the daemon that asks it.
type assigned struct {
	ask     sched.AdviceRequest
	address string // empty for this daemon
}

// nextAsks gives questions to daemons that are free. Slow questions may keep all
// but a few daemons busy, so that quick ones never wait behind them. l.mu is held.
func (l *lead) nextAsks(now time.Duration) []assigned {
	if l.d.set.Advisor == nil {
		return nil
	}
	addresses := []string{""}
	for address, p := range l.peers {
		if now-p.seen < peerAge {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	spare := l.spareAdvisors(addresses, now)
	var out []assigned
	for i, address := range addresses {
		a := l.advisors[address]
		if a == nil {
			a = &advisorState{}
			l.advisors[address] = a
		}
		if a.busy || now < a.after {
			continue
		}
		limit := askLimit(i, len(addresses), now-l.began)
		ask, ok := l.engine.NextAdviceRequest(limit, spare > 0, now)
		if !ok {
			continue
		}
		if limit == unlimitedAsk {
			spare--
		}
		a.busy = true
		out = append(out, assigned{ask, address})
	}
	return out
}

// spareShare is the part, one in so many, of the daemons for questions of any
// duration that stays free when a step asks a second question. At least one does.
const spareShare = 4

// spareAdvisors returns how many daemons are free for second questions. l.mu is held.
func (l *lead) spareAdvisors(addresses []string, now time.Duration) int {
	all, idle := 0, 0
	for i, address := range addresses {
		if askLimit(i, len(addresses), now-l.began) < unlimitedAsk {
			continue
		}
		all++
		if a := l.advisors[address]; a == nil || (!a.busy && now >= a.after) {
			idle++
		}
	}
	return idle - max(1, all/spareShare)
}

// aloneAfter is how long a new leader asks only short questions itself while no
// other daemon has reported.
const aloneAfter = time.Second

const (
	// shortShare and mediumShare are the parts of the daemons, one in so many, that are
	// kept for short questions and for short and medium ones. Each carries 25 short or
	// 4 medium questions a second, so that few are enough; one of each is kept at least.
	shortShare, mediumShare = 12, 8
)

// askLimit is the longest question for daemon i of n, after a time alone.
func askLimit(i, n int, alone time.Duration) time.Duration {
	short := max(1, n/shortShare)
	medium := max(1, n/mediumShare)
	switch {
	case n == 1 && alone < aloneAfter:
		return shortAsk
	case n == 1:
		return unlimitedAsk
	case i < short:
		return shortAsk
	case i < short+medium && n > 2:
		return mediumAsk
	}
	return unlimitedAsk
}

// ask has one question asked.
func (l *lead) ask(ctx context.Context, a assigned) {
	sent := l.clock()
	limited, cancel := context.WithTimeout(ctx, a.ask.Expected+askSlack)
	defer cancel()
	var good map[string]string
	var valid time.Duration
	var err error
	if a.address == "" {
		good, valid, err = l.d.set.Advisor.Advise(limited, a.ask.Step, a.ask.Machines)
	} else {
		var out *reply
		out, err = l.d.peers.call(limited, a.address, rpcAsk, &call{Step: a.ask.Step, Machines: a.ask.Machines})
		if out != nil {
			good, valid = out.Tickets, out.Valid
		}
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		l.log.Warn().Str("event", "ask_failed").Str("step", a.ask.Step).Str("daemon", a.address).Err(err).Send()
	}
	l.d.set.Metrics.AdviceRequests.WithLabelValues(outcome).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	state := l.advisors[a.address]
	state.busy = false
	if err != nil {
		state.after = now + advisorPause
	}
	l.engine.AdviceAnswered(a.ask, good, valid, err == nil, sent, now)
	kick(l.planSoon)
}
