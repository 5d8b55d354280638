package place

// maxPrefixes is the number of prefix hashes kept per backend server. It
// matches the size of an engine's cache, a few thousand prefixes.
const maxPrefixes = 4096

// prefixHistory keeps the prompt prefixes most recently sent to a backend
// server. It approximates the contents of the backend server's cache, which
// also evicts its oldest entries.
type prefixHistory struct {
	// Number of the latest use by hash; larger is more recent.
	lastUses map[uint64]uint64
	// Uses, oldest first. A hash that was used again has a later entry too.
	uses     []prefixUse
	useCount uint64
}

type prefixUse struct {
	hash   uint64
	number uint64
}

// add records the prefixes of a call.
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

// countMatched returns the number of leading hashes in the history. The hashes
// are ordered from the shortest prefix to the longest.
func (p *prefixHistory) countMatched(hashes []uint64) int {
	for i, h := range hashes {
		if _, s := p.lastUses[h]; !s {
			return i
		}
	}
	return len(hashes)
}
