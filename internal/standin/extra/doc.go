// Package extra makes an HTTP server write answers too many on kept connections.
//
// Such an answer is a copy of one that the server has written before on the same
// connection: of a refusal, of a failure, of a success, or of the first half of a
// success. It keeps the id of its request, or names none. It comes right after an
// answer, or where the next answer is due. GET and POST /control/extra read and change
// the fault.
package extra
