package cell

// DesiredKind is a kind of object of a desired state.
type DesiredKind string

// Kinds of objects. There is one document and one set of limits.
const (
	DesiredWhole   DesiredKind = "document"
	DesiredQueue   DesiredKind = "queue"
	DesiredService DesiredKind = "service"
	DesiredTeam    DesiredKind = "team"
	DesiredLimits  DesiredKind = "limits"
)
