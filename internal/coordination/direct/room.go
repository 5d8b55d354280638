package direct

import trail "bulrushtrail.example/trail"

// ShareRoom makes the buffered responses take room that others take too. It must be called
// before the first request.
func (s *Server) ShareRoom(room trail.Room) { s.buffers.Within(room) }
