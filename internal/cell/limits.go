package cell

// MaxAmount bounds each resource of a host and of a task: a million cores, a pebibyte
// of memory. Sums over all hosts or over all tasks of a submission stay far below the
// largest integer.
const MaxAmount = 1_000_000_000
