package place

// maxPrefixes bounds the prefix hashes remembered per backend server, in the
// order of an engine's cache of a few thousand prefixes.
const maxPrefixes = 4096

// prefixHistory remembers the prompt prefixes that a backend server has seen last.
// It is a guess at the contents of its cache, which drops old entries too.
type prefixHistory struct {
	// Use number by hash; a larger one is more recent.
	lastUses map[uint64]uint64
	// Ring of hashes in the order of use; a hash that was used again has a
	// later entry too.
	uses     []prefixUse
	useCount uint64
}

type prefixUse struct {
	hash   uint64
	number uint64
}

// add records a call's prefixes.
func (p *prefixHistory) add(hashes []uint64) {
	if p.lastUses == nil {
		p.lastUses = map[uint64]uint64{}
	}
	for _, h := range hashes {
		p.useCount++
		p.lastUses[h] = p.useCount
		p.uses = append(p.uses, prefixUse{h, p.useCount})
	}
	for len(p.lastUses) > maxPrefixes || len(p.uses) > 2*maxPrefixes {
		o := p.uses[0]
		p.uses = p.uses[1:]
		if p.lastUses[o.hash] == o.number {
			delete(p.lastUses, o.hash)
		}
	}
}

// countMatched returns the number of leading hashes that were seen. The hashes are
// ordered from the shortest prefix to the longest.
func (p *prefixHistory) countMatched(hashes []uint64) int {
	for i, h := range hashes {
		if _, s := p.lastUses[h]; !s {
			return i
		}
	}
	return len(hashes)
}
