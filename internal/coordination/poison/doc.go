// Package poison gathers the crashes of backend servers by the fingerprint of
// the requests that they were running.
//
// A fingerprint with one crash is a suspect: the request may only have shared
// the backend server with the one that crashed it. A fingerprint with crashes
// at two backend servers is rejected. A suspect that completes is cleared.
package poison
