// Package placement is the policy engine of one job scheduler: it decides which
// waiting task goes to which worker. The engine's record of a worker is a Node.
//
// A decision runs through these steps: filter (which workers can take the task),
// score (which of them is best), permit (does the team's quota allow it), reserve
// (the engine counts the resources as used) and commit (the rack owner has
// confirmed the start). The steps are shared; a policy per kind of job (service,
// batch, gang) supplies the search, which filters and scores. The search for a
// gang finds workers for all of its tasks or for none.
//
// Waiting jobs are in one of three queues: active, backoff (until a time) and
// unschedulable (until an event that can help: freed resources on a worker that
// they fit, a new worker, a raised quota or a changed estimate).
//
// The engine is not safe for concurrent use, takes the time as an argument and
// does no I/O.
package placement
