package batch

import (
	"cmp"
	"context"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Code of a call on a job that does not exist, or belongs to another team.
const codeJobMissing = "job-missing"

// account says where the tokens of a job are reserved: on a route, in the account of a
// team, or of all jobs without one if team is empty.
type account struct {
	route string
	team  string
}

// keyed reports whether the configuration in force lists teams.
func (s *Jobs) keyed() bool {
	t := s.routes.Table()
	return t != nil && t.Keyed()
}

// accountTeam returns the team in whose account the tokens of a team's job are reserved,
// empty while the configuration lists no teams.
func (s *Jobs) accountTeam(team string) string {
	if s.keyed() {
		return team
	}
	return ""
}

// teamField returns the value of a field for a team, unset without one.
func teamField(team string) *string {
	if team == "" {
		return nil
	}
	return &team
}

// Team returns the team to which a job belongs, empty if it was submitted without a key,
// and the route that the job has now, nil if there is none. The errors are "job-missing"
// and those of the platform.
func (s *Jobs) Team(ctx context.Context, id string) (string, *wire.RouteRule, error) {
	k, e := s.getJob(ctx, id)
	if e != nil {
		return "", nil, e
	}
	e = s.loadTeam(ctx, id, k)
	if e != nil {
		return "", nil, e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.team, s.route(k), nil
}

// loadTeam reads the team of a job whose object has none from its first input object,
// unless that was read before. A front of an earlier version of the program that updates
// the job's object drops the team.
func (s *Jobs) loadTeam(ctx context.Context, id string, cached *cachedJob) error {
	s.mu.Lock()
	// The items of a job that was accepted here, or was read as a whole, are cached.
	d := cached.team != "" || cached.teamRead || cached.items != nil
	s.mu.Unlock()
	if d {
		return nil
	}
	v, e := s.firstInput(ctx, id)
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cached.team, cached.teamRead = cmp.Or(cached.team, v.GetTeam()), true
	cached.route = cmp.Or(cached.route, v.GetRoute())
	return nil
}

// firstInput reads the first input object of a job.
func (s *Jobs) firstInput(ctx context.Context, id string) (*wire.BatchInput, error) {
	o, e := s.getImmutable(ctx, kindInputs, partName(id, 0))
	if e != nil {
		// A missing object must not be taken for a missing job: the job exists.
		return nil, trail.WrapError(e, "platform-unavailable", trail.NotRun, "team of the job could not be read").WithPlace(id)
	}
	v := &wire.BatchInput{}
	e = o.Decode(v)
	if e != nil {
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "input object is not decodable").WithPlace(id)
	}
	return v, nil
}

// checkTeam returns nil if a submission by a team may repeat the accepted job with its
// id: the job belongs to the team or to none, or the configuration lists no teams.
// Otherwise the error is "job-missing".
func (s *Jobs) checkTeam(ctx context.Context, id, team string) error {
	if !s.keyed() {
		return nil
	}
	t, _, e := s.Team(ctx, id)
	if trail.CodeOf(e) == codeJobMissing {
		return e
	}
	if e != nil {
		return trail.WrapError(e, trail.CodeOf(e), trail.MayHaveRun, "job may have been accepted before").WithPlace(id).WithRetryAfter(acceptRetryAfter)
	}
	if t != "" && t != team {
		return trail.NewError(codeJobMissing, trail.NotRun, "job belongs to another team").WithPlace(id)
	}
	return nil
}

// isForeignInput reports whether the first input object that exists for a job was
// stored for another team, or for none. Its items are not those of the submission then.
func (s *Jobs) isForeignInput(ctx context.Context, id, team string) (bool, error) {
	if !s.keyed() {
		return false, nil
	}
	v, e := s.firstInput(ctx, id)
	for e != nil && errors.Is(e, trail.ErrUnavailable) && sleep(ctx, writeRetryInterval) {
		v, e = s.firstInput(ctx, id)
	}
	if e != nil {
		return false, trail.WrapError(e, trail.CodeOf(e), trail.NotRun, "items of the job were not kept").WithPlace(id).WithRetryAfter(acceptRetryAfter)
	}
	return v.GetTeam() != team, nil
}
