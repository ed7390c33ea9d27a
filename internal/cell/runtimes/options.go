package runtimes

// DefaultMaxKeys is the number of keys that a model keeps by default. One takes up to about
// 28 KiB, all of them 14 MiB.
const DefaultMaxKeys = 512

// Options configure a Model.
type Options struct {
	// MaxKeys is how many keys are kept; zero for DefaultMaxKeys. Of those without enough
	// runs to be used, the least recently used one is removed first.
	MaxKeys int
}
