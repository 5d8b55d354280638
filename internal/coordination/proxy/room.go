package proxy

import trail "bulrushtrail.example/trail"

// Error code of an attempt for which this front, or the other one, has no room.
const codeNoRoom = "client-memory"

// ShareRoom makes the requests that are sent to or for other fronts take room that others
// take too. It must be called before the first request.
func (s *Upstream) ShareRoom(room trail.Room) { s.room = room }

// takeRoom takes room for a message that holds a body of a number of bytes, until release
// is called. Without room it returns an error with the verdict NotRun.
func (s *Upstream) takeRoom(bytes int) (release func(), err error) {
	if s.room == nil {
		return func() {}, nil
	}
	if !s.room.Take(bytes) {
		return nil, trail.NewError(codeNoRoom, trail.NotRun, "no room for a request by way of another front")
	}
	return func() { s.room.Return(bytes) }, nil
}
