package requests

// Codes of the ends that the entry node itself decides, besides those of
// packages router and platform/runner.
const (
	CodeBadPath       = "bad-path"
	CodeBadMethod     = "bad-method"
	CodeBadHeader     = "bad-header"
	CodeHeaderTooBig  = "header-too-large"
	CodeBodyTooBig    = "body-too-large"
	CodeBodyBroken    = "body-broken"
	CodeNoID          = "request-id-missing"
	CodeNoKey         = "key-missing"
	CodeBadKey        = "key-unknown"
	CodeWithdrawn     = "key-withdrawn"
	CodeStale         = "configuration-stale"
	CodeClass         = "class-not-allowed"
	CodeNoUpstream    = "upstream-unknown"
	CodeDraining      = "draining"
	CodeBuffers       = "buffers-full"
	CodeWaited        = "deadline-in-queue"
	CodeDeadline      = "deadline"
	CodeRunnerRefused = "runner-refused"
	CodeHeld          = "id-in-use"
	CodeRanBefore     = "ran-before"
	CodeNoMajority    = "no-majority"
	CodeMembers       = "members-changing"
	CodeLateUse       = "reservation-expired"
	CodeAnswer        = "answer"
)
