package objects

import (
	"fmt"
	"math"
	"math/bits"
	"regexp"
	"strconv"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// MaxLimitUnits bounds a limit, so that sums over all teams cannot overflow.
	MaxLimitUnits = 1 << 40
	// MaxWeight bounds the weight of a share.
	MaxWeight = 1 << 20
	// MaxDeclarations bounds the declared work of a team.
	MaxDeclarations = 256
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) checkLimit(ref Ref, l Limit) {
	amount, err := ParseAmount(l.Amount)
	if err != nil {
		c.fault(ref, "amount", l.Amount, `a whole number and a unit, such as "120 slots"`)
		return
	}
	if amount.Count > MaxLimitUnits {
		c.fault(ref, "amount", l.Amount, fmt.Sprintf("at most %d units", int64(MaxLimitUnits)))
		return
	}
	unit, ok := c.set.unitOf(amount.Word)
	if !ok {
		accepted := "a number and the name or plural of a unit" + known(c.set.Units)
		if c.withdrawn[Ref{KindUnit, amount.Word}] || c.withdrawnPlural(amount.Word) {
			accepted = "a unit that is not withdrawn in the same publication" + known(c.set.Units)
		}
		c.fault(ref, "amount", l.Amount, accepted)
		return
	}
	vector, why := c.set.unitVector(unit)
	if _, fits := scale(vector, amount.Count); why == "" && !fits {
		c.fault(ref, "amount", l.Amount, "an amount whose resources fit into 63 bits")
	}
}

// withdrawnPlural reports whether word is the default plural of a withdrawn unit.
func (c *checker) withdrawnPlural(word string) bool {
	return word != "" && word[len(word)-1] == 's' && c.withdrawn[Ref{KindUnit, word[:len(word)-1]}]
}

func (c *checker) checkShare(ref Ref, s Share) {
	c.within(ref, "weight", s.Weight, 1, MaxWeight)
	c.within(ref, "minimum_percent", s.MinimumPercent, 0, 100)
}

// checkShareSum refuses promised parts that the weights do not give.
func (c *checker) checkShareSum() {
	var total int64
	used := map[string]bool{}
	each(KindTeam, c.set.Teams, func(_ Ref, t Team) {
		weight := c.set.Shares[t.Share].Weight
		if weight > 0 && weight <= MaxWeight {
			total += weight
			used[t.Share] = true
		}
	})
	each(KindShare, c.set.Shares, func(ref Ref, s Share) {
		if !used[ref.Name] || s.MinimumPercent < 0 || s.MinimumPercent > 100 {
			return
		}
		if s.Weight*100 < s.MinimumPercent*total {
			c.fault(ref, "minimum_percent", strconv.FormatInt(s.MinimumPercent, 10),
				fmt.Sprintf("at most %d: the weight is %d of %d over all teams", s.Weight*100/total, s.Weight, total))
		}
	})
}

func (c *checker) checkTeam(ref Ref, t Team) {
	limitOK := refers(c, ref, "limit", KindLimit, t.Limit, c.set.Limits)
	refers(c, ref, "share", KindShare, t.Share, c.set.Shares)
	c.within(ref, "declares", int64(len(t.Declares)), 0, MaxDeclarations)
	for i, d := range t.Declares {
		field := fmt.Sprintf("declares[%d]", i)
		if c.checkDeclaration(ref, field, d) && limitOK {
			c.checkRoom(ref, field, d, t.Limit)
		}
	}
}

func (c *checker) checkDeclaration(ref Ref, field string, d Declaration) bool {
	ok := c.within(ref, field+".tasks", int64(d.Tasks), 1, math.MaxInt32)
	for i, part := range []string{"milli_cpu", "memory_mib", "accelerators"} {
		ok = c.within(ref, field+".size."+part, d.Size.At(i), 0, maxUnitPart) && ok
	}
	if ok && d.Size.IsZero() {
		c.fault(ref, field+".size", d.Size.String(), "a size above zero")
		return false
	}
	return ok
}

// checkRoom refuses declared work that the team's limit can never hold.
func (c *checker) checkRoom(ref Ref, field string, d Declaration, limit string) {
	_, count, vector, ok := c.set.limit(limit)
	if !ok {
		return
	}
	units, ok := d.Size.UnitsNeeded(vector)
	if !ok {
		c.fault(ref, field+".size", d.Size.String(), fmt.Sprintf("only resources that the unit of limit/%s contains (%s)", limit, vector))
		return
	}
	tasks := int64(1)
	if d.Kind == work.Gang {
		tasks = int64(d.Tasks)
	}
	high, low := bits.Mul64(uint64(units), uint64(tasks))
	if high != 0 || low > uint64(count) {
		c.fault(ref, field, fmt.Sprintf("%s of %d tasks at %d units", d.Kind, tasks, units),
			fmt.Sprintf("at most the %d units of limit/%s", count, limit))
	}
}

// limit returns the unit name, the number of units and the size of a unit.
func (s *Set) limit(name string) (unit string, count int64, vector resource.Vector, ok bool) {
	amount, err := ParseAmount(s.Limits[name].Amount)
	if err != nil {
		return "", 0, vector, false
	}
	unit, found := s.unitOf(amount.Word)
	if !found {
		return "", 0, vector, false
	}
	vector, why := s.unitVector(unit)
	return unit, amount.Count, vector, why == "" && !vector.IsZero()
}

func (c *checker) checkKey(ref Ref, k Key) {
	refers(c, ref, "team", KindTeam, k.Team, c.set.Teams)
	if !hashPattern.MatchString(k.SHA256) {
		c.fault(ref, "sha256", k.SHA256, "64 lower-case hexadecimal digits: the SHA-256 of the secret")
		return
	}
	if other, taken := c.set.keyHashes[k.SHA256]; taken {
		c.fault(ref, "sha256", k.SHA256, "a secret that key/"+other+" does not have")
		return
	}
	c.set.keyHashes[k.SHA256] = ref.Name
}
