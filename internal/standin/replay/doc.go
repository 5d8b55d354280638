// Package replay measures the policies of a scheduler under load: it drives
// the decision module of package place with a recorded trace and a model of the
// runners, in one loop over events with the event times handed to the module.
//
// A runner of the model has slots, a time per token that grows a little with
// each running request, a prefill of the prompt tokens that are not in its
// bounded prefix cache, and load reports that lag. There is one scheduler, no
// network fault other than a lost runner, and the callers don't resend. The
// same trace and seed give the same figures.
package replay
