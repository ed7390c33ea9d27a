package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// orderTargets returns the nodes in the order in which a call is forwarded to them. With
// ForwardByPath, the calls for one submission go to the same node as long as that answers,
// which then remembers what it has refused.
func (p *Pool) orderTargets(r *CallRequest, targets []*endpoint) []*endpoint {
	if p.ForwardByPath && r.IsWrite() {
		slices.SortFunc(targets, func(a, b *endpoint) int { return cmp.Compare(pathHash(r.Path, b.name), pathHash(r.Path, a.name)) })
	}
	return targets
}

func pathHash(path, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	x := h.Sum64() // FNV mixes the last bytes too little into the high bits
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
