// Package entry is the role that serves callers and operators over HTTP.
//
// It keeps no durable state. A question passes through these steps: check,
// registration of its request id, claim of its idempotency key when it may run
// at most once, dispatch by the router, storing of the answer, settlement of
// the claim, and the end of the answer to the caller. Each failure becomes a
// refusal with a code and a verdict that says whether the request may have
// run.
//
// Files and jobs are objects of the platform, and the bytes of files are in
// bulk storage. Writes whose response was lost are settled by reading back.
package entry
