package requests

// Members provides the current membership of the entry nodes.
type Members interface {
	View() View
}
