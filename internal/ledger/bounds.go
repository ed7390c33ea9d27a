package ledger

// Bounds of the replicated state. They decide what takes effect, so they must
// be equal on all nodes and are constants of a release.
const (
	// FirstOffset is the offset of the first record of a log. Zero is not an
	// offset, so that a zero token means that a shard was never claimed.
	FirstOffset = 1
	// MaxSenders bounds the nodes whose last batch is remembered.
	MaxSenders = 1024
	// MaxObjects bounds the objects of the configuration.
	MaxObjects = 50_000
	// MaxWithdrawn bounds the withdrawn objects whose last change is remembered.
	MaxWithdrawn = 4096
	// MaxVerdicts bounds the publications whose verdict is remembered.
	MaxVerdicts = 1024
	// MaxOpenJobs bounds the unfinished jobs.
	MaxOpenJobs = 100_000
	// MaxFinishedJobs bounds the finished jobs that are kept for status and
	// for repeated submissions. It covers more than a day at 6,500 jobs a day.
	MaxFinishedJobs = 10_000
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 100_000
	// MaxParts bounds the parts of one job.
	MaxParts = 256
	// MaxJobText bounds the texts of one job and MaxJobTexts those of all jobs
	// that are kept, in bytes. A node has 128 MB for everything.
	MaxJobText  = 64 << 10
	MaxJobTexts = 32 << 20
	// MaxSpecs bounds the specs of all objects, in bytes.
	MaxSpecs = 16 << 20
	// MaxProblems bounds the faults that are reported of one publication, and
	// MaxKeptProblems those that a repeated publication gets.
	MaxProblems     = 100
	MaxKeptProblems = 10
	// MaxHosts bounds the workers of one shard.
	MaxHosts = 4096
	// MaxName bounds a name or identifier, in bytes.
	MaxName = 512
)
