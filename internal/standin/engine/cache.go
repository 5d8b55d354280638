package engine

import (
	"container/list"
	"time"
)

const (
	eventStored  = "stored"
	eventRemoved = "removed"
	// Events older than the newest so many are lost.
	maxEvents = 4096
)

// cacheEvent tells which blocks came or went together.
type cacheEvent struct {
	seq    int64
	at     time.Time
	kind   string
	blocks []uint64
}

// cache is the prefix cache: block hashes, least recently used first to go.
type cache struct {
	capacity int
	// Front is the most recently used.
	order  *list.List
	places map[uint64]*list.Element
	// In order of seq, without holes.
	events []cacheEvent
	seq    int64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), places: map[uint64]*list.Element{}}
}

// use returns how many leading blocks are cached, and caches all of them.
func (s *cache) use(blocks []uint64, now time.Time) int {
	n := 0
	for n < len(blocks) && s.places[blocks[n]] != nil {
		n++
	}
	var l []uint64
	// From the last on, so that a block goes before the ones it builds on.
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if p := s.places[b]; p != nil {
			s.order.MoveToFront(p)
			continue
		}
		s.places[b] = s.order.PushFront(b)
		l = append(l, b)
	}
	s.note(eventStored, l, now)
	s.evict(now)
	return n
}

// evict removes blocks beyond the capacity.
func (s *cache) evict(now time.Time) {
	var l []uint64
	for s.order.Len() > s.capacity {
		b := s.order.Remove(s.order.Back()).(uint64)
		delete(s.places, b)
		l = append(l, b)
	}
	s.note(eventRemoved, l, now)
}

func (s *cache) note(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	s.seq++
	s.events = append(s.events, cacheEvent{seq: s.seq, at: now, kind: kind, blocks: blocks})
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

// clear forgets all blocks, as a restart does, and goes on with the sequence.
func (s *cache) clear(now time.Time) {
	l := make([]uint64, 0, s.order.Len())
	for b := range s.places {
		l = append(l, b)
	}
	s.order.Init()
	clear(s.places)
	s.note(eventRemoved, l, now)
}

// use ratio, 0 to 1.
func (s *cache) ratio() float64 {
	return float64(s.order.Len()) / float64(s.capacity)
}
