package objects

import "slices"

// Kind is the kind of a published object.
type Kind string

// Kinds of objects.
const (
	KindUnit     Kind = "unit"
	KindLimit    Kind = "limit"
	KindShare    Kind = "share"
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindQueue    Kind = "queue"
	KindPolicy   Kind = "policy"
	KindUpstream Kind = "upstream"
)

// Kinds lists all kinds; each kind comes after those that it refers to.
var Kinds = []Kind{KindUnit, KindLimit, KindShare, KindTeam, KindKey, KindQueue, KindPolicy, KindUpstream}

// Known reports whether k is a kind of object.
func (k Kind) Known() bool { return slices.Contains(Kinds, k) }
