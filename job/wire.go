package job

import (
	"strings"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// States of an attempt on the wire, besides those of workload.TaskState.
const (
	statePending    = "pending"     // the outcome of the start is not known yet
	stateNotStarted = "not_started" // certainly not started
	stateReserved   = "reserved"    // resources are held for a gang job
)

func toAmount(r machine.Resources) *rpc.Amount {
	return &rpc.Amount{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

func fromAmount(a *rpc.Amount) machine.Resources {
	return machine.Resources{CPUMilli: a.GetCpuMilli(), MemoryMiB: a.GetMemoryMib(), Accelerators: a.GetAccelerators()}
}

func toSpec(t workload.Task) *rpc.TaskSpec {
	return &rpc.TaskSpec{
		Id: t.ID, Attempt: int64(t.Attempt), Job: t.Job, Team: t.Team, Kind: string(t.Kind), Priority: int32(t.Priority),
		Preemptible: t.Preemptible, Resources: toAmount(t.Resources), RunTimeMs: t.RunTime.Milliseconds(), ShardEpoch: t.ShardEpoch,
	}
}

func fromSpec(s *rpc.TaskSpec, shard string) workload.Task {
	return workload.Task{
		ID: s.GetId(), Attempt: int(s.GetAttempt()), Job: s.GetJob(), Team: s.GetTeam(), Kind: workload.Kind(s.GetKind()),
		Priority: workload.Priority(s.GetPriority()), Preemptible: s.GetPreemptible(), Shard: shard, ShardEpoch: s.GetShardEpoch(),
		Resources: fromAmount(s.GetResources()), RunTime: time.Duration(s.GetRunTimeMs()) * time.Millisecond,
	}
}

func toStart(t workload.Task) machine.TaskStart {
	return machine.TaskStart{
		ID: t.ID, Attempt: t.Attempt, Job: t.Job, Team: t.Team, Kind: string(t.Kind), Priority: int(t.Priority),
		Preempt: t.Preemptible, Shard: t.Shard, ShardEpoch: t.ShardEpoch, Resources: t.Resources, RunTime: t.RunTime,
	}
}

func fromStart(s machine.TaskStart) workload.Task {
	return workload.Task{
		ID: s.ID, Attempt: s.Attempt, Job: s.Job, Team: s.Team, Kind: workload.Kind(s.Kind), Priority: workload.Priority(s.Priority),
		Preemptible: s.Preempt, Shard: s.Shard, ShardEpoch: s.ShardEpoch, Resources: s.Resources, RunTime: s.RunTime,
	}
}

// wireKinds gives every error kind a drpc code, so that the kind survives a call.
var wireKinds = []errkind.Kind{
	errkind.BadInput, errkind.NotFound, errkind.Conflict, errkind.QuotaExceeded, errkind.NotReady, errkind.NotOwner,
	errkind.StaleEpoch, errkind.LogUnavailable, errkind.AppendUnknown, errkind.Impossible, errkind.NoCapacity,
	errkind.Draining, errkind.OutcomeUnknown, errkind.Cancelled, errkind.Overloaded, errkind.InternalFailure,
}

// wireCodeBase keeps the codes apart from those that drpc uses itself.
const wireCodeBase = 1000

// reasonEnd separates the reason from the detail in the text of an error.
const reasonEnd = ": "

// detailOf returns the detail of err without its kind and reason.
func detailOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// toWire adds the kind of err to the error that drpc sends.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	k := errkind.Of(err)
	for i, w := range wireKinds {
		if w == k {
			return drpcerr.WithCode(errors.New(errkind.ReasonOf(err)+reasonEnd+detailOf(err)), wireCodeBase+uint64(i))
		}
	}
	return err
}

// fromWire restores the kind of an error that a call returned. An error without
// a kind means that the outcome of the call is unknown.
func fromWire(err error) error {
	if err == nil {
		return nil
	}
	var e *errkind.Error
	if errors.As(err, &e) {
		return err
	}
	if c := drpcerr.Code(err); c >= wireCodeBase && c < wireCodeBase+uint64(len(wireKinds)) {
		reason, detail, ok := strings.Cut(err.Error(), reasonEnd)
		if !ok {
			reason, detail = "remote", err.Error()
		}
		return &errkind.Error{Kind: wireKinds[c-wireCodeBase], Reason: reason, Detail: detail, Err: err}
	}
	return errkind.Wrap(errkind.OutcomeUnknown, "call_failed", err)
}
