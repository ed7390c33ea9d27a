package plan

// DomainCounts counts the live tasks of one job in each failure domain.
type DomainCounts struct {
	Racks, Zones, Regions map[int32]int32
}

// Add adds n tasks on h to the counts; n may be negative.
func (p *DomainCounts) Add(h *Host, n int32) {
	if p.Racks == nil {
		p.Racks, p.Zones, p.Regions = map[int32]int32{}, map[int32]int32{}, map[int32]int32{}
	}
	add(p.Racks, h.Rack, n)
	add(p.Zones, h.Zone, n)
	add(p.Regions, h.Region, n)
}

func add(m map[int32]int32, k, n int32) {
	if m[k] += n; m[k] == 0 {
		delete(m, k)
	}
}
