// Package placement is the policy engine of one job scheduler: it decides which
// waiting task goes to which worker.
//
// A decision runs through named steps: filter (which workers can take the
// task), score (which of them is best), reserve (the resources are held in the
// engine), permit (quota and, for gang jobs, completeness) and commit (the rack
// owner has confirmed the start). The steps are shared; a policy per kind of
// job (service, batch, gang) supplies the search and the score.
//
// Waiting jobs are in one of three queues: active, backoff (until a time) and
// unschedulable (until an event that can help: freed resources on a worker they
// fit, a new worker, a raised quota or a changed estimate).
//
// The engine is not safe for concurrent use, takes the time as an argument and
// does no I/O.
package placement
