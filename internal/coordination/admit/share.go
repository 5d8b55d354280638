package admit

import "slices"

// FairShare returns how many requests in flight a team may have so that all teams
// together have at most capacity and no team is held below another one that has more:
// the max-min fair share of the loads. It is capacity if all loads have room.
func FairShare(loads []int, capacity int) int {
	l := slices.Sorted(slices.Values(loads))
	r := capacity
	for i, n := range l {
		s := r / (len(l) - i)
		if n > s {
			return max(s, 0)
		}
		r -= n
	}
	return max(capacity, 0)
}
