// Package ledger keeps the quota accounts of routes with a limit of waiting
// tokens. Each account is stored in one platform object.
//
// A reservation counts once a conditional update of the object has succeeded, so
// two fronts that accept jobs at the same time cannot both take the last tokens.
// Reservations and changes of one front that are pending at the same time share
// an update. Tokens of finished items are released with the next reservation, or
// after an interval that is short while any front reports that a quota is near
// its limit.
//
// Entries of jobs that ended while their front was lost are removed when a quota
// is near its limit: the stored jobs show which entries are stale.
package ledger
