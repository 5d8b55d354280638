// Package poison detects poison requests: requests that crash the backend
// servers that run them. It counts backend server crashes by the fingerprint of
// each request that was running at the time.
//
// A fingerprint whose crashes are below the threshold is a suspect: the request
// may merely have shared the backend server with the one that caused the crash.
// A fingerprint with crashes on two different backend servers is rejected for a
// time that doubles with each further one. Then it is a suspect again. A suspect
// is cleared when its request completes.
package poison
