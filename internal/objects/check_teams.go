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
	// MaxLimitUnits bounds the units of a limit, so that sums over all teams
	// cannot overflow.
	MaxLimitUnits = 1 << 40
	// MaxWeight bounds the weight of a share.
	MaxWeight = 1 << 20
	// MaxDeclarations bounds the number of declarations of a team.
	MaxDeclarations = 256
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) checkLimit(ref Ref, l Limit) {
	amount, err := ParseAmount(l.Amount)
	if err != nil {
		c.addFault(ref, "amount", l.Amount, `a whole number and a unit, such as "120 slots"`)
		return
	}
	if amount.Count > MaxLimitUnits {
		c.addFault(ref, "amount", l.Amount, fmt.Sprintf("at most %d units", int64(MaxLimitUnits)))
		return
	}
	unit, ok := c.set.resolveUnit(amount.UnitWord)
	if !ok {
		accepted := "a number and the name or plural of a unit" + describeNames(c.set.Units)
		if c.withdrawn[Ref{KindUnit, amount.UnitWord}] || c.isWithdrawnPlural(amount.UnitWord) {
			accepted = "a unit that is not withdrawn in the same publication" + describeNames(c.set.Units)
		}
		c.addFault(ref, "amount", l.Amount, accepted)
		return
	}
	vector, problem := c.set.unitVector(unit)
	if _, fits := scale(vector, amount.Count); problem == "" && !fits {
		c.addFault(ref, "amount", l.Amount, "an amount whose resources fit into 63 bits")
	}
}

// isWithdrawnPlural reports whether word is the default plural of a withdrawn unit.
func (c *checker) isWithdrawnPlural(word string) bool {
	return word != "" && word[len(word)-1] == 's' && c.withdrawn[Ref{KindUnit, word[:len(word)-1]}]
}

func (c *checker) checkShare(ref Ref, s Share) {
	c.checkRange(ref, "weight", s.Weight, 1, MaxWeight)
	c.checkRange(ref, "minimum_percent", s.MinimumPercent, 0, 100)
}

// checkShareSum records a fault for each share whose weight is less than its
// MinimumPercent of the weights of all teams.
func (c *checker) checkShareSum() {
	var totalWeight int64
	isUsed := map[string]bool{}
	forEachSorted(KindTeam, c.set.Teams, func(_ Ref, t Team) {
		weight := c.set.Shares[t.Share].Weight
		if weight > 0 && weight <= MaxWeight {
			totalWeight += weight
			isUsed[t.Share] = true
		}
	})
	forEachSorted(KindShare, c.set.Shares, func(ref Ref, s Share) {
		if !isUsed[ref.Name] || s.MinimumPercent < 0 || s.MinimumPercent > 100 {
			return
		}
		if s.Weight*100 < s.MinimumPercent*totalWeight {
			c.addFault(ref, "minimum_percent", strconv.FormatInt(s.MinimumPercent, 10),
				fmt.Sprintf("at most %d: the weight is %d of %d over all teams", s.Weight*100/totalWeight, s.Weight, totalWeight))
		}
	})
}

func (c *checker) checkTeam(ref Ref, t Team) {
	limitExists := checkReference(c, ref, "limit", KindLimit, t.Limit, c.set.Limits)
	checkReference(c, ref, "share", KindShare, t.Share, c.set.Shares)
	c.checkRange(ref, "declares", int64(len(t.Declares)), 0, MaxDeclarations)
	for i, d := range t.Declares {
		field := fmt.Sprintf("declares[%d]", i)
		if c.checkDeclaration(ref, field, d) && limitExists {
			c.checkFitsLimit(ref, field, d, t.Limit)
		}
	}
}

func (c *checker) checkDeclaration(ref Ref, field string, d Declaration) bool {
	ok := c.checkRange(ref, field+".tasks", int64(d.Tasks), 1, math.MaxInt32)
	for i, part := range []string{"milli_cpu", "memory_mib", "accelerators"} {
		ok = c.checkRange(ref, field+".size."+part, d.Size.At(i), 0, maxUnitResource) && ok
	}
	if ok && d.Size.IsZero() {
		c.addFault(ref, field+".size", d.Size.String(), "a size above zero")
		return false
	}
	return ok
}

// checkFitsLimit records a fault if declared work can never fit in the team's
// limit: one task, or all tasks of a gang at once.
func (c *checker) checkFitsLimit(ref Ref, field string, d Declaration, limit string) {
	_, count, vector, ok := c.set.limitSize(limit)
	if !ok {
		return
	}
	units, ok := d.Size.UnitsNeeded(vector)
	if !ok {
		c.addFault(ref, field+".size", d.Size.String(), fmt.Sprintf("only resources that the unit of limit/%s contains (%s)", limit, vector))
		return
	}
	tasks := int64(1)
	if d.Kind == work.Gang {
		tasks = int64(d.Tasks)
	}
	high, low := bits.Mul64(uint64(units), uint64(tasks))
	if high != 0 || low > uint64(count) {
		c.addFault(ref, field, fmt.Sprintf("%s of %d tasks at %d units", d.Kind, tasks, units),
			fmt.Sprintf("at most the %d units of limit/%s", count, limit))
	}
}

// limitSize returns the unit name, the number of units and the resources of one
// unit of the named limit.
func (s *Set) limitSize(name string) (unit string, count int64, vector resource.Vector, ok bool) {
	amount, err := ParseAmount(s.Limits[name].Amount)
	if err != nil {
		return "", 0, vector, false
	}
	unit, found := s.resolveUnit(amount.UnitWord)
	if !found {
		return "", 0, vector, false
	}
	vector, problem := s.unitVector(unit)
	return unit, amount.Count, vector, problem == "" && !vector.IsZero()
}

func (c *checker) checkKey(ref Ref, k Key) {
	checkReference(c, ref, "team", KindTeam, k.Team, c.set.Teams)
	if !hashPattern.MatchString(k.SHA256) {
		c.addFault(ref, "sha256", k.SHA256, "64 lower-case hexadecimal digits: the SHA-256 of the secret")
		return
	}
	if other, taken := c.set.keyHashes[k.SHA256]; taken {
		c.addFault(ref, "sha256", k.SHA256, "a secret that key/"+other+" does not have")
		return
	}
	c.set.keyHashes[k.SHA256] = ref.Name
}
