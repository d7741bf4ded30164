package cell

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// submitPatience is how long a submission waits for a leader before it is
	// refused: most changes of the leader are over by then. The caller is then told
	// to come back.
	submitPatience = 1000 * time.Millisecond
	// submitLimit bounds a submission whose outcome is not known: the caller learns
	// that early and sends the same job again, rather than late in its deadline.
	submitLimit = 1200 * time.Millisecond
	// askPatience is how long questions about a job and cancellations wait for a
	// leader. They wait longer than submissions: a change of the leader ends them.
	askPatience = 1500 * time.Millisecond
	// attemptTimeout bounds one call to the leader. A job is stored within it unless
	// the log is slow.
	attemptTimeout = 1500 * time.Millisecond
	// answerReserve is the part of a deadline in which no further call is made after a
	// definite refusal: its answer could come too late, and then the outcome of a
	// request that nobody has taken would count as unknown.
	answerReserve = 150 * time.Millisecond
	// leaderPoll is the wait before the leader is called again.
	leaderPoll = 60 * time.Millisecond
)

// reasonTenureOver means that the leader cannot store its heartbeats.
const reasonTenureOver = "tenure_over"

// Submit hands a job to the leader. nil means that the job is stored. An error of
// kind outcome_unknown means that the job may be stored; any other error that it
// is not and never runs.
func (d *Daemon) Submit(ctx context.Context, job *sched.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitLimit)
	defer cancel()
	_, err := d.toLeader(ctx, rpcSubmit, &call{Job: job}, submitPatience)
	return err
}

// State returns the state of a job, and false if there is no such job.
func (d *Daemon) State(ctx context.Context, id string) (sched.JobState, bool, error) {
	out, err := d.toLeader(ctx, rpcState, &call{ID: id}, askPatience)
	if err != nil {
		return "", false, err
	}
	return out.State, out.Known, nil
}

// Cancel ends a job. It reports false if there is no such job.
func (d *Daemon) Cancel(ctx context.Context, id string) (bool, error) {
	out, err := d.toLeader(ctx, rpcCancel, &call{ID: id}, askPatience)
	if err != nil {
		return false, err
	}
	return out.Known, nil
}

// Pending returns how many accepted jobs of a queue have no started task. The
// count is up to helloEvery and one call old.
func (d *Daemon) Pending(queue string) (int, error) {
	if l := d.lead.Load(); l != nil {
		return l.pending()[queue], nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	const oldest = 2 * time.Second // callers are promised no older count
	if d.pendingAt == 0 || d.clock()-d.pendingAt > oldest {
		return 0, errkind.New(errkind.NotReady, "count_too_old", "the leader has not answered lately")
	}
	return d.pending[queue], nil
}

// toLeader calls the leader, and its successor if it fails. While no leader is
// known it waits for patience. Calls may be repeated: a job has its own id.
func (d *Daemon) toLeader(ctx context.Context, name string, c *call, patience time.Duration) (*reply, error) {
	began := d.clock()
	var unknown error
	for {
		changed := d.tenure.Changed()
		out, err := d.tryLeader(ctx, name, c, changed)
		if err == nil {
			return out, nil
		}
		switch errkind.Of(err) {
		case errkind.OutcomeUnknown, errkind.AppendUnknown:
			unknown = err
		case errkind.NotReady, errkind.NotOwner, errkind.Unreachable:
		default:
			if unknown != nil {
				// A copy under way to a former leader may still be taken: "never runs" is not certain.
				return nil, errkind.Wrap(errkind.OutcomeUnknown, "refused_after_silence", err)
			}
			return nil, err
		}
		if errkind.ReasonOf(err) == reasonTenureOver && !d.route.reaches() {
			patience = 0 // the log is down for all: nothing is stored until it is back
		}
		if ctx.Err() != nil || (unknown == nil && (d.clock()-began >= patience || nearDeadline(ctx))) {
			if unknown != nil {
				return nil, errkind.Wrap(errkind.OutcomeUnknown, "leader_silent", unknown)
			}
			return nil, err
		}
		select {
		case <-ctx.Done():
			if unknown == nil {
				return nil, err // the last answer still holds: nothing was handed over
			}
		case <-changed:
		case <-time.After(leaderPoll):
		}
	}
}

// nearDeadline reports whether less than answerReserve would be left after a pause of
// leaderPoll.
func nearDeadline(ctx context.Context) bool {
	at, ok := ctx.Deadline()
	return ok && time.Until(at) < leaderPoll+answerReserve
}

// tryLeader makes one call to the daemon that leads now. It gives the call up when
// the leader changes: a host without power does not answer, and its successor
// knows or takes the same job.
func (d *Daemon) tryLeader(ctx context.Context, name string, c *call, changed <-chan struct{}) (*reply, error) {
	l, ok := d.tenure.Leader()
	if !ok {
		return nil, errkind.New(errkind.NotReady, "no_leader", "no daemon leads the cell")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if l.Incarnation == d.tenure.cfg.Self.Incarnation {
		for _, m := range d.service() {
			if m.name == name {
				return m.fn(ctx, c)
			}
		}
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return d.peers.call(ctx, l.Address, name, c)
}

func (d *Daemon) leading() (*lead, error) {
	l := d.lead.Load()
	if l == nil {
		return nil, errkind.New(errkind.NotOwner, "not_leading", "this daemon does not lead the cell")
	}
	if !d.tenure.Held() {
		return nil, errkind.New(errkind.NotReady, reasonTenureOver, "the leader's tenure is not confirmed")
	}
	return l, nil
}

func (d *Daemon) handleSubmit(ctx context.Context, c *call) (*reply, error) {
	l, err := d.leading()
	if err != nil {
		return nil, err
	}
	if c.Job == nil {
		return nil, errkind.New(errkind.BadInput, "no_job", "the call carries no job")
	}
	return &reply{}, l.submit(ctx, c.Job)
}

func (d *Daemon) handleState(_ context.Context, c *call) (*reply, error) {
	l, err := d.leading()
	if err != nil {
		return nil, err
	}
	state, known := l.state(c.ID)
	return &reply{State: state, Known: known}, nil
}

func (d *Daemon) handleCancel(ctx context.Context, c *call) (*reply, error) {
	l, err := d.leading()
	if err != nil {
		return nil, err
	}
	known, err := l.cancel(ctx, c.ID)
	return &reply{Known: known}, err
}

func (d *Daemon) handleHello(_ context.Context, c *call) (*reply, error) {
	l := d.lead.Load()
	if l == nil {
		return nil, errkind.New(errkind.NotOwner, "not_leading", "this daemon does not lead the cell")
	}
	return l.hello(c), nil
}

func (d *Daemon) handleAsk(ctx context.Context, c *call) (*reply, error) {
	if d.set.Advisor == nil {
		return nil, errkind.New(errkind.NotReady, "no_advisor", "this daemon has no advisor")
	}
	good, valid, err := d.set.Advisor.Advise(ctx, c.Step, c.Machines)
	return &reply{Tickets: good, Valid: valid}, err
}
