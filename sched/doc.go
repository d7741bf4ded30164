// Package sched decides which task runs on which machine. One daemon of the cell,
// the leader, runs an Engine for all machines.
//
// A pass of Plan goes through named steps: filter (which machines can take a
// task), score (which of them is best), reserve (the room is held in the engine)
// and order (a Start is handed out). A run holds its room until the machine lists
// its end, refuses the start, or its lease has surely lapsed.
//
// What must survive the leader is handed out as keyed records by Flush. A job is
// accepted, an end is acknowledged to its machine and a final state is shown only
// after Flushed has confirmed the records. What runs is not stored: a new leader
// learns it from the machines.
//
// The engine is not safe for concurrent use, takes the time as an argument and
// does no I/O. Times are durations on a clock that counts the suspension of the
// host.
package sched
