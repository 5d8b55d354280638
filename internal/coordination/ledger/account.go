package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/apex/log"
)

// Prefix of the names of the objects that hold the accounts of teams.
const teamAccountPrefix = "team-"

// accountKey names an account: that of a team on a route, or of all jobs on the route
// without such an account if team is empty.
type accountKey struct {
	route string
	team  string
}

// objectName returns the name of the account's object. Without a team it is that of the
// route, as in earlier builds. With a team it is a digest: names of teams may hold
// characters that names of objects may not, and two names joined in another way could
// be those of another pair.
func (k accountKey) objectName() string {
	if k.team == "" {
		return k.route
	}
	d := sha256.Sum256([]byte(strconv.Itoa(len(k.route)) + ":" + k.route + k.team))
	return teamAccountPrefix + hex.EncodeToString(d[:])
}

// fields returns the fields of log lines that name the account.
func (k accountKey) fields() log.Fields {
	f := log.Fields{"route": k.route}
	if k.team != "" {
		f["team"] = k.team
	}
	return f
}
