package cell

// MaxAmount bounds each resource of a host and of a task: a million cores, a pebibyte
// of memory. Sums over all hosts or over all tasks of a submission stay far below the
// largest integer.
const MaxAmount = 1_000_000_000

// MaxTasks bounds the tasks of a submission over all steps and occurrences.
const MaxTasks = 100_000
