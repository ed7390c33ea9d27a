package ownership

// Refusal is the reason why a record about members or claims has no effect.
type Refusal string

const (
	// None means that the record takes effect.
	None            Refusal = ""
	AlreadyMember   Refusal = "already a member"
	OldIncarnation  Refusal = "this or a newer incarnation has joined before"
	TooManyNames    Refusal = "too many node names"
	TooManyMembers  Refusal = "too many members"
	NotMember       Refusal = "not a member"
	SenderNotMember Refusal = "sender is not a member"
	RenewedSince    Refusal = "renewed after the offset in the request"
	TokenMismatch   Refusal = "another claim is in force"
	TooManyShards   Refusal = "too many shards"
	SameBatch       Refusal = "claimed in the same batch"
	NotHeld         Refusal = "sender does not own the shard under this token"
)
