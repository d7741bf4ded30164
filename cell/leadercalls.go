package cell

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// submitLeaderWait is how long a submission waits for a leader before the caller is told to
	// retry later. Most changes of the leader are over by then.
	submitLeaderWait = 1000 * time.Millisecond
	// queryLeaderWait is how long status queries and cancellations wait for a leader. It is longer
	// than submitLeaderWait, since they are answered as soon as a change of the leader is over.
	queryLeaderWait = 1500 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader. A change of a job is stored within it unless the
	// log is slow; the call is then made again.
	leaderCallTimeout = 1500 * time.Millisecond
	// leaderRetryWait is the wait before the leader is called again, unless a new leader is known
	// earlier.
	leaderRetryWait = 60 * time.Millisecond
)

// reasonTenureOver is the reason of a refusal because the leader's tenure has ended: its heartbeats
// are not stored any more.
const reasonTenureOver = "tenure_over"

// reasonLogLost is the reason of a refusal because the leader's tenure has ended and the log answers it
// on no way.
const reasonLogLost = "log_lost"

// Submit sends a job of a caller to the leader and returns nil once it is stored. An error of kind
// outcome_unknown means that the job may be stored; any other error means that it is not stored and
// never runs. It is of kind conflict if the id is that of a job of another tenant. The deadline of ctx
// is taken for the end of the caller's time: a caller that cannot return within it waits here, see
// patience.
func (d *Daemon) Submit(ctx context.Context, who Caller, job *sched.Job) error {
	job.Tenant = who.Tenant
	_, err := d.callLeader(ctx, rpcSubmit, who.sign(&call{Job: job}), patience{maxWait: submitLeaderWait, holdLast: true})
	return err
}

// State returns the state of a job, and false if there is no such job for the caller.
func (d *Daemon) State(ctx context.Context, who Caller, id string) (sched.JobState, bool, error) {
	out, err := d.callLeader(ctx, rpcState, who.sign(&call{ID: id}), patience{maxWait: queryLeaderWait})
	if err != nil {
		return "", false, err
	}
	return out.State, out.Known, nil
}

// Cancel cancels a job and returns once that is stored. It reports false if there is no such job for the
// caller.
func (d *Daemon) Cancel(ctx context.Context, who Caller, id string) (bool, error) {
	out, err := d.callLeader(ctx, rpcCancel, who.sign(&call{ID: id}), patience{maxWait: queryLeaderWait})
	if err != nil {
		return false, err
	}
	return out.Known, nil
}

// Pending returns how many accepted jobs of a queue have no started task. The count is normally no
// older than registrationInterval and one call; a count older than 2 s is an error of kind not_ready.
func (d *Daemon) Pending(queue string) (int, error) {
	if l := d.leadership.Load(); l != nil {
		return l.pending()[queue], nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	const maxAge = 2 * time.Second // callers are guaranteed no older count
	if d.pendingReadAt == 0 || d.clock()-d.pendingReadAt > maxAge {
		return 0, errkind.New(errkind.NotReady, "count_too_old", "the leader has not answered lately")
	}
	return d.pending[queue], nil
}

// callLeader calls the leader, and calls again, or calls its successor, while the answer is lost, or
// the called daemon is not reachable or not ready to lead; other errors are returned at once. If no
// call could have had an effect, p decides when it stops; otherwise it stops when ctx ends, and the
// error is of kind outcome_unknown. Repeated calls are safe, since a job is identified by its id.
func (d *Daemon) callLeader(ctx context.Context, path string, c *call, p patience) (*reply, error) {
	began := d.clock()
	var unknownErr error
	for {
		changed := d.tenure.Changed()
		out, err := d.callLeaderOnce(ctx, path, c, changed)
		if err == nil {
			return out, nil
		}
		switch errkind.Of(err) {
		case errkind.OutcomeUnknown, errkind.AppendUnknown:
			unknownErr = err
			d.tenure.ReadNow()
		case errkind.NotOwner, errkind.Unreachable:
			d.tenure.ReadNow()
		case errkind.NotReady:
		default:
			if unknownErr != nil {
				// A former leader may still accept a copy that was sent to it, so the refusal is not definite.
				return nil, errkind.Wrap(errkind.OutcomeUnknown, "refused_after_silence", err)
			}
			return nil, err
		}
		if unknownErr != nil && ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.OutcomeUnknown, "leader_silent", unknownErr)
		}
		if unknownErr == nil && (ctx.Err() != nil || p.isOver(d.clock()-began, timeLeft(ctx), d.logOutageAfter(err))) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			if unknownErr == nil {
				return nil, err // the last refusal is definite: no daemon has accepted the request
			}
		case <-changed:
		case <-time.After(leaderRetryWait):
		}
	}
}

// logOutageAfter returns for how long nothing could be stored, if the leader refused a call with err
// because its tenure is over and it reaches the log neither directly nor through another daemon; and
// else 0.
func (d *Daemon) logOutageAfter(err error) time.Duration {
	switch errkind.ReasonOf(err) {
	case reasonLogLost:
	case reasonTenureOver:
		if d.platformLog.reachesLog() {
			return 0
		}
	default:
		return 0
	}
	return max(d.LogOutage(), time.Nanosecond) // this daemon may not have noticed the outage yet
}

// callLeaderOnce makes one call to the known leader. It abandons a call to another daemon when changed
// is closed, since a leader that has lost its power never answers, and its successor knows or accepts
// the same job.
func (d *Daemon) callLeaderOnce(ctx context.Context, path string, c *call, changed <-chan struct{}) (*reply, error) {
	l, ok := d.tenure.Leader()
	if !ok {
		return nil, errkind.New(errkind.NotReady, "no_leader", "no daemon leads the cell")
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	if l.sameProcess(d.tenure.cfg.Self) {
		for _, m := range d.rpcMethods() {
			if m.path == path {
				return m.handle(ctx, c)
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
	return d.conns.call(ctx, l.Address, path, c)
}

// confirmedLeadership returns the leadership of this daemon. The error is of kind not_owner if the
// daemon does not lead, and of kind not_ready with reasonTenureOver if its tenure is not held.
func (d *Daemon) confirmedLeadership() (*leadership, error) {
	l := d.leadership.Load()
	if l == nil {
		return nil, errkind.New(errkind.NotOwner, "not_leading", "this daemon does not lead the cell")
	}
	if !d.tenure.Held() {
		return nil, d.tenureOver("the leader's tenure is not confirmed")
	}
	return l, nil
}

// tenureOver returns the refusal of a call because this leader's tenure has ended.
func (d *Daemon) tenureOver(detail string) error {
	reason := reasonTenureOver
	if d.tenure.logOutage() > 0 {
		reason = reasonLogLost
	}
	return errkind.New(errkind.NotReady, reason, "%s", detail)
}

func (d *Daemon) handleSubmit(ctx context.Context, c *call) (*reply, error) {
	l, err := d.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	if c.Job == nil {
		return nil, errkind.New(errkind.BadInput, "no_job", "the request has no job")
	}
	if !l.changes.enter() {
		return nil, errLeaderLeaves()
	}
	defer l.changes.leave()
	return &reply{}, l.submit(ctx, c.caller(), c.Job)
}

func (d *Daemon) handleState(_ context.Context, c *call) (*reply, error) {
	l, err := d.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	state, known := l.jobState(c.caller(), c.ID)
	return &reply{State: state, Known: known}, nil
}

func (d *Daemon) handleCancel(ctx context.Context, c *call) (*reply, error) {
	l, err := d.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	if !l.changes.enter() {
		return nil, errLeaderLeaves()
	}
	defer l.changes.leave()
	known, err := l.cancel(ctx, c.caller(), c.ID)
	return &reply{Known: known}, err
}

// errLeaderLeaves returns the refusal of a change by a leader that is about to resign. The caller
// repeats it at the successor.
func errLeaderLeaves() error {
	return errkind.New(errkind.NotOwner, "leader_leaves", "this daemon is about to give up leadership")
}

func (d *Daemon) handleRegister(_ context.Context, c *call) (*reply, error) {
	l := d.leadership.Load()
	if l == nil {
		return nil, errkind.New(errkind.NotOwner, "not_leading", "this daemon does not lead the cell")
	}
	return l.register(c), nil
}

func (d *Daemon) handleAdvise(ctx context.Context, c *call) (*reply, error) {
	if d.settings.Advisor == nil {
		return nil, errkind.New(errkind.NotReady, "no_advisor", "this daemon has no advisor")
	}
	tickets, validFor, err := d.settings.Advisor.Advise(ctx, c.Step, c.Machines)
	return &reply{Tickets: tickets, Valid: validFor}, err
}
