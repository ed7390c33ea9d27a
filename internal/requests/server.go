package requests

import (
	"context"
	"hash/maphash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/router"
)

// Server is the request path of one entry node. It is an http.Handler for
// /v1/upstreams/{upstream}/... and answers the peers' calls about requests.
type Server struct {
	options Options
	auth    Authenticator
	members Members
	peers   Peers
	client  runner.Client
	clock   Clock
	metrics *metrics

	gate      gate
	buffered  atomic.Int64
	sequence  atomic.Uint64
	attempts  atomic.Uint64
	upstreams sync.Map // name to *upstream
	count     atomic.Int32
	updating  sync.Mutex
	addresses map[string]bool // of the listed runners
	voters    [shardCount]voterShard
	keepers   [shardCount]keeperShard
	seed      maphash.Seed

	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	kicked  chan struct{}
	doubted chan struct{}
	leasing sync.Map // keeper name to *atomic.Bool
}

// voterShard is the part of the voter table for some ids.
type voterShard struct {
	mu    sync.Mutex
	table *router.VoterTable
}

// keeperShard is the part of the lending table for some runners.
type keeperShard struct {
	mu     sync.Mutex
	keeper *router.Keeper
}

// New starts the request path of a node. Close ends it.
func New(o Options, auth Authenticator, members Members, peers Peers, client runner.Client, clock Clock) *Server {
	s := &Server{
		options: o, auth: auth, members: members, peers: peers, client: client, clock: clock,
		metrics: newMetrics(o.Metrics), seed: maphash.MakeSeed(),
		kicked: make(chan struct{}, 1), doubted: make(chan struct{}, 1),
	}
	for i := range shardCount {
		s.voters[i].table = router.NewVoterTable(max(o.VoterEntries/shardCount, 1), router.DefaultVoterBytes/shardCount)
		s.keepers[i].keeper = router.NewKeeper(o.Router)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.workers.Go(s.leaseLoop)
	s.workers.Go(s.statusLoop)
	s.workers.Go(s.keptLoop)
	return s
}

// Drain refuses new requests from now on and waits for those in flight. It
// returns the number of those that were left when ctx ended.
func (s *Server) Drain(ctx context.Context) int {
	s.options.Log.Info("requests: Draining.")
	s.gate.close()
	left := s.gate.wait(ctx)
	s.options.Log.Info("requests: Drained.", "left", left)
	return left
}

// Close ends the background work. Non-idempotent requests whose caller has
// given up end with it.
func (s *Server) Close() {
	s.gate.close()
	s.stop()
	s.workers.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.options.PeerTimeout)
	defer cancel()
	s.gate.wait(ctx)
}

func (s *Server) voter(team, id string) *voterShard {
	return &s.voters[maphash.Comparable(s.seed, [2]string{team, id})%shardCount]
}

func (s *Server) keeper(runner string) *keeperShard {
	return &s.keepers[maphash.String(s.seed, runner)%shardCount]
}

// upstream returns the shard of an upstream, or nil.
func (s *Server) upstream(name string) *upstream {
	u, _ := s.upstreams.Load(name)
	up, _ := u.(*upstream)
	return up
}

func (s *Server) eachUpstream(f func(*upstream)) {
	s.upstreams.Range(func(_, v any) bool {
		f(v.(*upstream))
		return true
	})
}

// unique returns a name that no other request or attempt of any node has.
func (s *Server) unique() string {
	v := s.members.View()
	return v.Self + ":" + strconv.FormatUint(v.Incarnation, 36) + ":" + strconv.FormatUint(s.attempts.Add(1), 36)
}

// poke wakes a loop; a wake-up that is already pending is enough.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for a time or until the server closes, and reports the latter.
func (s *Server) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
