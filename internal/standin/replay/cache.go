package replay

import "container/list"

// cache is a runner's prefix cache: the least recently used prefix goes first.
type cache struct {
	// In tokens.
	capacity, used int
	// Front is the most recently used.
	order  *list.List
	places map[uint64]*list.Element
}

type cached struct {
	hash   uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), places: map[uint64]*list.Element{}}
}

// use returns whether a prefix was there, and caches it.
func (c *cache) use(hash uint64, tokens int) bool {
	p := c.places[hash]
	if p != nil {
		c.order.MoveToFront(p)
		return true
	}
	c.places[hash] = c.order.PushFront(cached{hash, tokens})
	c.used += tokens
	for c.used > c.capacity {
		o := c.order.Remove(c.order.Back()).(cached)
		delete(c.places, o.hash)
		c.used -= o.tokens
	}
	return false
}
