package replay

import "container/list"

// cache is a runner's prefix cache with LRU eviction.
type cache struct {
	// In tokens.
	capacity, used int
	// Most recently used entry first.
	order   *list.List
	entries map[uint64]*list.Element
}

type cacheEntry struct {
	hash   uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// use returns whether a prefix was cached, and marks it as most recently used
// or inserts it, evicting others as needed.
func (c *cache) use(hash uint64, tokens int) bool {
	p := c.entries[hash]
	if p != nil {
		c.order.MoveToFront(p)
		return true
	}
	c.entries[hash] = c.order.PushFront(cacheEntry{hash, tokens})
	c.used += tokens
	for c.used > c.capacity {
		o := c.order.Remove(c.order.Back()).(cacheEntry)
		delete(c.entries, o.hash)
		c.used -= o.tokens
	}
	return false
}
