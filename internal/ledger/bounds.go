package ledger

// Bounds of the replicated state. They decide which records take effect, so all
// nodes must use equal values: they are compiled in and cannot be configured.
const (
	// FirstOffset is the offset of the first record of a log. Zero is not a
	// valid offset, so that a zero fencing token means that a shard was never
	// claimed.
	FirstOffset = 1
	// MaxSenders is the maximum number of nodes whose last batch is stored, by
	// which duplicate batches are detected.
	MaxSenders = 1024
	// MaxObjects is the maximum number of configuration objects.
	MaxObjects = 50_000
	// MaxWithdrawnObjects is the maximum number of withdrawn objects whose last
	// revision is stored.
	MaxWithdrawnObjects = 4096
	// MaxStoredResults is the maximum number of publications whose result is
	// stored.
	MaxStoredResults = 1024
	// MaxOpenJobs is the maximum number of unfinished jobs.
	MaxOpenJobs = 100_000
	// MaxFinishedJobs is the maximum number of finished jobs that are kept to
	// answer status queries and to detect repeated submissions. It covers more
	// than a day at 6,500 jobs a day.
	MaxFinishedJobs = 10_000
	// MaxTasks is the maximum number of tasks of one job.
	MaxTasks = 100_000
	// MaxParts is the maximum number of parts of one job.
	MaxParts = 256
	// MaxJobTextBytes is the maximum total length of the text fields of one job,
	// and MaxTotalJobTextBytes that of all stored jobs, finished ones included,
	// because a node has a memory budget of 128 MB in all.
	MaxJobTextBytes      = 64 << 10
	MaxTotalJobTextBytes = 32 << 20
	// MaxSpecBytes is the maximum total length of the specs of all objects.
	MaxSpecBytes = 16 << 20
	// MaxProblems is the maximum number of problems that are reported for a
	// publication, and MaxStoredProblems the number of them that are stored to
	// answer a repeated publication.
	MaxProblems       = 100
	MaxStoredProblems = 10
	// MaxHosts is the maximum number of hosts of one shard.
	MaxHosts = 4096
	// MaxNameBytes is the maximum length of a name or identifier.
	MaxNameBytes = 512
)
