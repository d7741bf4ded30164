// Package placement is the policy engine of one job scheduler: it decides which
// waiting task goes to which worker. The engine's record of a worker is a Node.
//
// A decision runs through these steps: filter (which workers can take the task),
// score (which of them is best), permit (does the team's quota allow it), reserve
// (the engine counts the resources as used) and commit (the rack owner has
// confirmed the start). A policy per kind of job (service, batch, gang) supplies the
// search, which filters and scores; the other steps are the same for all kinds. The
// search for a gang finds workers for all of its tasks or for none.
//
// A job with waiting tasks is in the active queue or in the unschedulable queue
// (until an event that can help: freed resources on a worker that it fits, a new
// worker, a raised quota, less usage of its team or a changed estimate). A task that
// failed or was refused is in the backoff queue (until a time). A gang is queued only
// while none of its tasks is placed or in backoff.
//
// The engine is not safe for concurrent use, takes the time as an argument and
// does no I/O.
package placement
