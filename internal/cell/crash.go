package cell

// HostInstance is one lifetime of a host: the host may start again under its ID.
type HostInstance struct {
	ID string `json:"id"`
	// StartedMs is when the lifetime began, in Unix milliseconds; zero if unknown.
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

// UnconfirmedCrash is a possible crash of a host: its connections broke or were refused,
// and the leases there have expired, but no later instance has answered. A host that is cut
// off may look like this as well.
type UnconfirmedCrash struct {
	Crash
	Host HostInstance `json:"host"`
	// Alone is set if nothing else can have caused the crash.
	Alone bool `json:"alone,omitempty"`
}
