package cell

// TrialHost is a host on which a suspected task was started alone.
type TrialHost struct {
	ID string `json:"id"`
	// StartedMs is when the host had last started, in Unix milliseconds; zero if unknown.
	StartedMs int64 `json:"born,omitempty"`
}

// Crash is a crash of the host of a run.
type Crash struct {
	Run int64 `json:"run"`
	// Recent is set if the run had started right before the crash, so that it may have
	// caused it. Otherwise every run on the host may have.
	Recent bool `json:"recent,omitempty"`
	// Suspects is the number of submissions that may have caused the crash.
	Suspects int `json:"suspects,omitempty"`
	// Seen is set if the run was known to be present before the crash. Otherwise its
	// start had no answer.
	Seen bool `json:"seen,omitempty"`
	// Silent is set if the host had not answered for a while before its process was found
	// to be gone, so that the time and the cause of the crash are unknown.
	Silent bool `json:"silent,omitempty"`
	// Members are the indexes of the gang members that were on hosts which crashed under
	// the run; nil if they are unknown, or the task belongs to no gang.
	Members []int `json:"members,omitempty"`
}
