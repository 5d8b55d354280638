package place

// maxPrefixes bounds the prefix hashes remembered per backend server, in the
// order of an engine's cache of a few thousand prefixes.
const maxPrefixes = 4096

// prefixes remembers the prompt prefixes that a backend server has seen last.
// It is a guess at the contents of its cache, which drops old entries too.
type prefixes struct {
	// Use number by hash; a larger one is more recent.
	used map[uint64]uint64
	// Ring of hashes in the order of use; a hash that was used again has a
	// later entry too.
	order []seenPrefix
	next  uint64
}

type seenPrefix struct {
	hash uint64
	use  uint64
}

// add records a call's prefixes.
func (p *prefixes) add(hashes []uint64) {
	if p.used == nil {
		p.used = map[uint64]uint64{}
	}
	for _, h := range hashes {
		p.next++
		p.used[h] = p.next
		p.order = append(p.order, seenPrefix{h, p.next})
	}
	for len(p.used) > maxPrefixes || len(p.order) > 2*maxPrefixes {
		o := p.order[0]
		p.order = p.order[1:]
		if p.used[o.hash] == o.use {
			delete(p.used, o.hash)
		}
	}
}

// matched returns the number of leading hashes that were seen. The hashes are
// ordered from the shortest prefix to the longest.
func (p *prefixes) matched(hashes []uint64) int {
	for i, h := range hashes {
		if _, s := p.used[h]; !s {
			return i
		}
	}
	return len(hashes)
}
