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
	attemptPending    = "pending"     // it is not known yet whether the attempt started
	attemptNotStarted = "not_started" // certain: the attempt did not start and never will
	attemptReserved   = "reserved"    // resources are held for a gang job
)

func toAmount(r machine.Resources) *rpc.Amount {
	return &rpc.Amount{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

func fromAmount(a *rpc.Amount) machine.Resources {
	return machine.Resources{CPUMilli: a.GetCpuMilli(), MemoryMiB: a.GetMemoryMib(), Accelerators: a.GetAccelerators()}
}

func toTaskSpec(t workload.Task) *rpc.TaskSpec {
	return &rpc.TaskSpec{
		Id: t.ID, Attempt: int64(t.Attempt), Job: t.Job, Team: t.Team, Kind: string(t.Kind), Priority: int32(t.Priority),
		Preemptible: t.Preemptible, Resources: toAmount(t.Resources),
		RunTimeMs: t.RunTime.Milliseconds(), ShardEpoch: t.ShardEpoch,
	}
}

func fromTaskSpec(s *rpc.TaskSpec, shard string) workload.Task {
	return workload.Task{
		ID: s.GetId(), Attempt: int(s.GetAttempt()), Job: s.GetJob(), Team: s.GetTeam(), Kind: workload.Kind(s.GetKind()),
		Priority: workload.Priority(s.GetPriority()), Preemptible: s.GetPreemptible(), Shard: shard, ShardEpoch: s.GetShardEpoch(),
		Resources: fromAmount(s.GetResources()), RunTime: time.Duration(s.GetRunTimeMs()) * time.Millisecond,
	}
}

func toMachineTaskSpec(t workload.Task) machine.TaskSpec {
	return machine.TaskSpec{
		ID: t.ID, Attempt: t.Attempt, Job: t.Job, Team: t.Team, Kind: string(t.Kind), Priority: int(t.Priority),
		Preemptible: t.Preemptible, Shard: t.Shard, ShardEpoch: t.ShardEpoch, Resources: t.Resources, RunTime: t.RunTime,
	}
}

func fromMachineTaskSpec(s machine.TaskSpec) workload.Task {
	return workload.Task{
		ID: s.ID, Attempt: s.Attempt, Job: s.Job, Team: s.Team, Kind: workload.Kind(s.Kind), Priority: workload.Priority(s.Priority),
		Preemptible: s.Preemptible, Shard: s.Shard, ShardEpoch: s.ShardEpoch, Resources: s.Resources, RunTime: s.RunTime,
	}
}

// codedKinds lists the error kinds that are sent in an RPC error. The drpc code of a kind is wireCodeBase
// plus its index here, so existing entries must keep their position.
var codedKinds = []errkind.Kind{
	errkind.BadInput, errkind.NotFound, errkind.Conflict, errkind.QuotaExceeded, errkind.NotReady, errkind.NotOwner,
	errkind.StaleEpoch, errkind.LogUnavailable, errkind.AppendUnknown, errkind.Impossible, errkind.NoCapacity,
	errkind.Draining, errkind.OutcomeUnknown, errkind.Cancelled, errkind.Overloaded, errkind.InternalFailure,
}

// wireCodeBase keeps the codes of error kinds apart from the codes that drpc uses itself.
const wireCodeBase = 1000

// reasonSeparator stands between the reason and the detail in the text of an RPC error.
const reasonSeparator = ": "

// detailOf returns the detail of err without its kind and reason.
func detailOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// toWire converts err to an RPC error that carries its kind, reason and detail. nil stays nil. An error
// of a kind that is not in codedKinds is returned as it is and loses its kind in a call to another daemon.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	k := errkind.Of(err)
	for i, w := range codedKinds {
		if w == k {
			return drpcerr.WithCode(errors.New(errkind.ReasonOf(err)+reasonSeparator+detailOf(err)), wireCodeBase+uint64(i))
		}
	}
	return err
}

// fromWire restores the kind, reason and detail of an error that an RPC returned. An
// error without a kind, such as a broken connection, becomes errkind.OutcomeUnknown,
// because the call may have taken effect. nil stays nil.
func fromWire(err error) error {
	if err == nil {
		return nil
	}
	var e *errkind.Error
	if errors.As(err, &e) {
		return err
	}
	if c := drpcerr.Code(err); c >= wireCodeBase && c < wireCodeBase+uint64(len(codedKinds)) {
		reason, detail, ok := strings.Cut(err.Error(), reasonSeparator)
		if !ok {
			reason, detail = "remote", err.Error()
		}
		return &errkind.Error{Kind: codedKinds[c-wireCodeBase], Reason: reason, Detail: detail, Err: err}
	}
	return errkind.Wrap(errkind.OutcomeUnknown, "call_failed", err)
}
