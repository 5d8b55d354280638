// Package ledger keeps the accounts of the routes with a limit of waiting
// tokens in platform objects, one for each route.
//
// A reservation counts once a conditional update has succeeded, so two fronts
// that accept jobs at the same time cannot both take the last room. Reservations
// and changes of one front that come together share an update. Finished items
// are told with the next reservation, or after a while, which is short as soon as
// any front sees an account that fills up.
//
// Entries of jobs that have ended while their front was lost are found by the
// jobs themselves when room is short.
package ledger
