package ownership

// Action is an operation that the Manager asks its caller to perform.
type Action interface{ isAction() }

// AppendRenewal appends a Renewal record to the log. It is also emitted while a
// promise not to append is in force: a renewal changes nothing that other nodes
// decide on, and a successful one shows that the outage has ended.
type AppendRenewal struct{ ReadOffset uint64 }

// AppendClaim appends a Claim record to the log.
type AppendClaim struct {
	Shard      string
	Supersedes uint64
}

// AppendRelease appends a Release record to the log.
type AppendRelease struct {
	ShardToken
	Successor string
}

// AppendEvict appends an Evict record to the log.
type AppendEvict struct {
	Identity
	LastRenewal uint64
}

// RequestConfirmations asks peers to confirm that the log is unreachable.
type RequestConfirmations struct {
	Round  uint64
	To     []string
	Shards []ShardToken
}

// RequestAcks asks peers to acknowledge a claim.
type RequestAcks struct {
	To []string
	ShardToken
}

// StartShard asks the caller to start the dispatcher of a shard, over which this
// process has authority from now on.
type StartShard struct{ ShardToken }

// StopShard asks the caller to stop the dispatcher of a shard, over which the
// authority of this process has ended. Manager.Authority reports the same when it
// is called.
type StopShard struct {
	ShardToken
	Reason string
}

// QuiesceShard asks the dispatcher to start no more tasks of a shard, in order to
// transfer it to Successor, and to report ShardQuiesced once no command is
// outstanding, or QuiesceFailed if that takes too long.
type QuiesceShard struct {
	ShardToken
	Successor string
}

// ConfirmReply answers a ConfirmRequested. If Confirmed, the node has promised
// to append no claim, release or eviction for PromiseDuration.
type ConfirmReply struct {
	ID         uint64
	Confirmed  bool
	Superseded []ShardToken
	Reason     string
}

// AckReply answers an AckRequested.
type AckReply struct {
	ID           uint64
	Acknowledged bool
	ReadOffset   uint64
}

// LeaveReady reports that a draining process no longer holds any shard.
type LeaveReady struct{}

func (AppendRenewal) isAction()        {}
func (AppendClaim) isAction()          {}
func (AppendRelease) isAction()        {}
func (AppendEvict) isAction()          {}
func (RequestConfirmations) isAction() {}
func (RequestAcks) isAction()          {}
func (StartShard) isAction()           {}
func (StopShard) isAction()            {}
func (QuiesceShard) isAction()         {}
func (ConfirmReply) isAction()         {}
func (AckReply) isAction()             {}
func (LeaveReady) isAction()           {}
