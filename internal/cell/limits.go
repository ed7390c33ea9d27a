package cell

const (
	// MaxAmount bounds each resource of a host and of a task: a million cores, a pebibyte
	// of memory. Sums over all hosts or over all tasks of a submission stay far below the
	// largest integer.
	MaxAmount = 1_000_000_000
	// MaxSteps bounds the steps of a submission, and MaxTasks its tasks over all steps and
	// occurrences.
	MaxSteps = 1000
	MaxTasks = 100_000
)
