// Package crash decides which requests are stopped because they crash the
// backend servers that begin to answer them.
//
// Its evidence are losses: requests whose backend server was lost before their
// answer had begun. A key is what requests can have in common: a part of their
// prompt, or being the same request. A loss speaks against all keys of its
// request, and an answer that begins clears all keys of its request, since
// nothing about it keeps a backend server from answering.
//
// A request is stopped if one of its keys has enough losses in a row, that is,
// none cleared and each of a request that was sent after the loss before it had
// happened. Losses at the same moment, as in a burst of servers that fail, count
// once. A loss does not count against a key if the same crash is explained by a
// part that the request at hand does not have.
//
// The decision holds for a time that doubles with each further loss, and ends at
// once when an answer begins. All fronts decide by themselves, from evidence
// that they exchange.
package crash
