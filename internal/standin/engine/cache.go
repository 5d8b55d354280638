package engine

import (
	"container/list"
	"time"
)

const (
	eventStored  = "stored"
	eventRemoved = "removed"
	// Number of events kept; older ones are dropped.
	maxCacheEvents = 4096
)

// cacheEvent lists the blocks that were stored or removed together.
type cacheEvent struct {
	seq    int64
	at     time.Time
	kind   string
	blocks []uint64
}

// cache is the prefix cache: a set of block hashes with LRU eviction.
type cache struct {
	capacity int
	// The front is the most recently used block.
	recency  *list.List
	elements map[uint64]*list.Element
	// In order of seq, without gaps.
	events []cacheEvent
	seq    int64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recency: list.New(), elements: map[uint64]*list.Element{}}
}

// lookupAndStore returns how many leading blocks are cached, and then stores
// all blocks.
func (s *cache) lookupAndStore(blocks []uint64, now time.Time) int {
	n := 0
	for n < len(blocks) && s.elements[blocks[n]] != nil {
		n++
	}
	var l []uint64
	// Stores the last block first, so that a block is evicted before the
	// blocks of its prefix.
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if p := s.elements[b]; p != nil {
			s.recency.MoveToFront(p)
			continue
		}
		s.elements[b] = s.recency.PushFront(b)
		l = append(l, b)
	}
	s.recordEvent(eventStored, l, now)
	s.evict(now)
	return n
}

// evict removes the least recently used blocks beyond the capacity.
func (s *cache) evict(now time.Time) {
	var l []uint64
	for s.recency.Len() > s.capacity {
		b := s.recency.Remove(s.recency.Back()).(uint64)
		delete(s.elements, b)
		l = append(l, b)
	}
	s.recordEvent(eventRemoved, l, now)
}

func (s *cache) recordEvent(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	s.seq++
	s.events = append(s.events, cacheEvent{seq: s.seq, at: now, kind: kind, blocks: blocks})
	if len(s.events) > maxCacheEvents {
		s.events = s.events[len(s.events)-maxCacheEvents:]
	}
}

// clear removes all blocks, as a crash does. Sequence numbers of events
// continue.
func (s *cache) clear(now time.Time) {
	l := make([]uint64, 0, s.recency.Len())
	for b := range s.elements {
		l = append(l, b)
	}
	s.recency.Init()
	clear(s.elements)
	s.recordEvent(eventRemoved, l, now)
}

// ratio returns the share of the capacity in use, 0 to 1.
func (s *cache) ratio() float64 {
	return float64(s.recency.Len()) / float64(s.capacity)
}
