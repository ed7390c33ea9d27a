package requests

// Codes of the outcomes that the entry node decides itself. Packages router and
// platform/runner define further codes. CodeResponseForwarded is used only in
// metrics.
const (
	CodeBadPath            = "bad-path"
	CodeBadMethod          = "bad-method"
	CodeBadHeader          = "bad-header"
	CodeHeaderTooBig       = "header-too-large"
	CodeBodyTooBig         = "body-too-large"
	CodeBodyBroken         = "body-broken"
	CodeMissingID          = "request-id-missing"
	CodeMissingKey         = "key-missing"
	CodeUnknownKey         = "key-unknown"
	CodeKeyWithdrawn       = "key-withdrawn"
	CodeConfigStale        = "configuration-stale"
	CodeClassNotAllowed    = "class-not-allowed"
	CodeUnknownUpstream    = "upstream-unknown"
	CodeDraining           = "draining"
	CodeBuffersFull        = "buffers-full"
	CodeDeadlineInQueue    = "deadline-in-queue"
	CodeDeadline           = "deadline"
	CodeRunnerRefused      = "runner-refused"
	CodeIDInUse            = "id-in-use"
	CodeRanBefore          = "ran-before"
	CodeNoMajority         = "no-majority"
	CodeMembersChanging    = "members-changing"
	CodeReservationExpired = "reservation-expired"
	CodeResponseForwarded  = "answer"
)
