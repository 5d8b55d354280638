// Package limit keeps the rate limits of teams over all fronts. It asks the front that
// counts a team's requests, or its own reserve while that one does not answer, and
// answers other fronts for the teams that this one counts. Package rate decides.
package limit
