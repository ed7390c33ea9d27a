package requests

// Members tells about the entry nodes.
type Members interface {
	View() View
}
