// Package entry implements the entry role, which serves the HTTP API to callers
// and operators.
//
// It keeps no durable state. A request to a service passes through these steps:
// validation, registration of its request id, claim of its idempotency key when
// it may run at most once, dispatch by the router, storage of the answer,
// settlement of the claim, and the end of the response to the caller. Each
// failure becomes a refusal with a code and a verdict that says whether the
// request may have run.
//
// Files and jobs are objects of the platform, and the contents of files are in
// bulk storage. When the response to a write is lost, the object is read back to
// find out whether the write took effect.
package entry
