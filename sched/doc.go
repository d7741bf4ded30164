// Package sched decides which task runs on which machine. One daemon of the cell,
// the leader, runs an Engine for all machines.
//
// A pass of Plan filters the machines that can take a task, scores them, adds the
// run to the chosen machine and emits a Start order. A run holds its capacity until
// the machine lists its end, refuses the start or shows that it does not have the run,
// or until the machine's lease has expired even if its clock is slow.
//
// Flush hands out the state that must survive the leader as keyed records. A job is
// accepted, an end is acknowledged to its machine and a final state is shown only
// after BatchStored has confirmed the records. Runs are not stored: a new leader learns
// them from the machines. Only the names of the tasks that may run on an unresponsive
// machine are stored, with the record of the machine.
//
// The engine is not safe for concurrent use, takes the time as an argument and
// does no I/O besides logging. Times are durations on a clock that also advances while
// the host is suspended.
package sched
