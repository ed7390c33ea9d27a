package ownership

// Action is something that the Manager wants done.
type Action interface{ isAction() }

// AppendRenewal asks for a Renewal record. It is sent also while a promise
// not to append is in force: a renewal changes nothing that others decide on,
// and it is how the end of an outage is noticed.
type AppendRenewal struct{ ReadOffset uint64 }

// AppendClaim asks for a Claim record.
type AppendClaim struct {
	Shard      string
	Supersedes uint64
}

// AppendRelease asks for a Release record.
type AppendRelease struct {
	ShardToken
	Successor string
}

// AppendEvict asks for an Evict record.
type AppendEvict struct {
	Identity
	LastRenewal uint64
}

// AskOutage asks peers to confirm an outage.
type AskOutage struct {
	Round  uint64
	To     []string
	Shards []ShardToken
}

// AskAck asks peers to acknowledge a claim.
type AskAck struct {
	To []string
	ShardToken
}

// StartActing reports that this process decides about a shard from now on.
type StartActing struct{ ShardToken }

// StopActing reports that authority over a shard has ended. Authority tells
// the same; this action frees what the dispatcher keeps.
type StopActing struct {
	ShardToken
	Reason string
}

// HandOver asks the dispatcher to start no more tasks of a shard and to report
// HandedOver once no command is outstanding.
type HandOver struct {
	ShardToken
	Successor string
}

// ConfirmReply answers a ConfirmRequested. If Confirmed, the node has promised
// to append nothing but renewals for PromiseTime.
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

// LeaveReady reports that a draining process holds no shard any more.
type LeaveReady struct{}

func (AppendRenewal) isAction() {}
func (AppendClaim) isAction()   {}
func (AppendRelease) isAction() {}
func (AppendEvict) isAction()   {}
func (AskOutage) isAction()     {}
func (AskAck) isAction()        {}
func (StartActing) isAction()   {}
func (StopActing) isAction()    {}
func (HandOver) isAction()      {}
func (ConfirmReply) isAction()  {}
func (AckReply) isAction()      {}
func (LeaveReady) isAction()    {}
