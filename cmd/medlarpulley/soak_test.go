package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "seed of the schedule of faults")
	soakSeconds = flag.Int("soak.seconds", 12, "how long faults are injected")
	soakPause   = flag.Int("soak.pause", 600, "longest pause of a client between submissions, in ms")
)

const (
	soakNodes   = 10
	soakHosts   = 6
	soakClients = 12
	// soakOverlap is how many faults are injected at one time.
	soakOverlap = 2
	// soakRunTime is how long each run of a task takes.
	soakRunTime = 250 * time.Millisecond
	// soakCompletionTimeout bounds the wait after the last fault until every
	// accepted job has ended.
	soakCompletionTimeout = 60 * time.Second
)

// soakJob is a submitted job and the responses that its client got.
type soakJob struct {
	id string
	// tasks is the number of tasks of each step; each step starts after the one
	// before it is done.
	tasks []int
	// gang is set if the steps are gangs: the end of one task counts for all tasks
	// of its step.
	gang     bool
	accepted bool
	// outcomeUnknown is set if a submission got no response, or one that does not
	// say whether the job was accepted.
	outcomeUnknown bool
	// cancelledAt is when a cancellation was acknowledged; zero if none was.
	cancelledAt     time.Time
	cancelAttempted bool
}

func (j *soakJob) body() string {
	steps := make([]string, len(j.tasks))
	for i, n := range j.tasks {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps[i] = fmt.Sprintf(`{"count":%d,"cpu":500,"memMb":10,"estimateMs":%d,"gang":%t%s}`, n, soakRunTime.Milliseconds(), j.gang, after)
	}
	return `{"spec":"x","steps":[` + strings.Join(steps, ",") + `]}`
}

// soak is a cell of real processes into which faults are injected.
type soak struct {
	t      *testing.T
	store  *users.Store
	advice *users.Advice
	hosts  []*users.Host

	mu    sync.Mutex
	nodes []*entryProcess
	jobs  []*soakJob
	// restarting is held while a process is replaced.
	restarting [soakNodes]sync.Mutex
	// version is that of the newest desired state.
	version atomic.Int64
}

// publish publishes the next version of the desired state.
func (s *soak) publish() {
	version := s.version.Add(1)
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s",`+
		`"maxAttempts":3,"stretch":%d,"targetLatencyMs":1000,"advice":{"decisionMs":2,"perWorkerMs":0,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1000}]}`, version, 2+version%3))
}

func (s *soak) node(i int) *entryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// submit submits a job. After a refusal or an unknown outcome it tries again at a
// node chosen at random.
func (s *soak) submit(r *rand.Rand, j *soakJob) {
	const attempts = 3
	for range attempts {
		code, _ := s.node(r.IntN(soakNodes)).call(http.MethodPost, j.id, j.body())
		switch code {
		case http.StatusOK:
			j.accepted = true
			return
		case http.StatusServiceUnavailable:
		default:
			j.outcomeUnknown = true // no response, or one that does not tell the outcome
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}

// client submits jobs until stop is closed, and cancels some of them.
func (s *soak) client(number int, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(*soakSeed, uint64(number)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(*soakPause)) * time.Millisecond):
		}
		j := &soakJob{id: fmt.Sprintf("%08x%08x", number+1, n), tasks: []int{1 + r.IntN(3)}}
		if r.IntN(2) == 0 {
			j.tasks = append(j.tasks, 1+r.IntN(3))
		}
		j.gang = r.IntN(4) == 0
		s.submit(r, j)
		if j.accepted && r.IntN(8) == 0 {
			j.cancelAttempted = true
			if code, _ := s.node(r.IntN(soakNodes)).call(http.MethodDelete, j.id, ""); code == http.StatusOK {
				j.cancelledAt = time.Now()
			}
		}
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
	}
}

// restart ends a process by a series of signals, unless it has ended already, and starts
// it again. Clients use their connections to it until it has ended. It does nothing if
// the process is being replaced.
func (s *soak) restart(i int, pause time.Duration, signals ...syscall.Signal) {
	if !s.restarting[i].TryLock() {
		return
	}
	defer s.restarting[i].Unlock()
	old := s.node(i)
	for _, signal := range signals {
		_ = old.cmd.Process.Signal(signal) // it may have ended
		time.Sleep(pause)
	}
	_ = old.cmd.Wait()
	p := startEntry(s.t, fmt.Sprintf("n%02d", i), s.store, s.advice)
	s.mu.Lock()
	s.nodes[i] = p
	s.mu.Unlock()
}

// owner returns the index of the first node that has been owner since it
// started, or a random one if there is none.
func (s *soak) owner(r *rand.Rand) int {
	for i := range soakNodes {
		select {
		case <-s.node(i).becameOwner:
			return i
		default:
		}
	}
	return r.IntN(soakNodes)
}

// injectFault injects one random fault and returns once it is over.
func (s *soak) injectFault(r *rand.Rand) {
	duration := time.Duration(300+r.IntN(2500)) * time.Millisecond
	node, host := r.IntN(soakNodes), s.hosts[r.IntN(soakHosts)]
	switch kind := r.IntN(14); kind {
	case 0, 1:
		s.restart(s.owner(r), 0, syscall.SIGKILL)
	case 2:
		s.restart(node, 0, syscall.SIGTERM)
	case 3:
		p := s.node(s.owner(r)).cmd.Process
		_ = p.Signal(syscall.SIGSTOP) // it may have ended
		time.Sleep(2 * duration)
		_ = p.Signal(syscall.SIGCONT)
	case 4, 5:
		s.store.SetFault([]users.Fault{users.RejectAll, users.Unresponsive, users.DropAppendResponses, users.DelayAppends}[r.IntN(4)])
		time.Sleep(duration)
		s.store.SetFault(users.NoFault)
	case 6:
		s.store.TrimHistory("keyed.medlarpulley")
		s.store.TrimHistory("keyed.medlarpulley.nodes")
	case 7:
		host.SetUnresponsive(true)
		time.Sleep(duration)
		if r.IntN(2) == 0 {
			host.Restart() // behind the silence
		}
		time.Sleep(duration)
		host.SetUnresponsive(false)
	case 8:
		host.SetStartDelay(duration)
		time.Sleep(duration)
		host.SetStartDelay(0)
	case 9:
		var all sync.WaitGroup
		for i := range soakNodes {
			if i%2 == node%2 {
				all.Go(func() { s.restart(i, 0, syscall.SIGKILL) })
			}
		}
		all.Wait()
	case 10:
		s.restart(s.owner(r), duration/8, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	case 11:
		s.restart(s.owner(r), duration/8, syscall.SIGTERM, syscall.SIGKILL)
	case 12:
		for range 1 + r.IntN(5) {
			s.publish()
			time.Sleep(duration / 8)
		}
	case 13:
		host.Restart()
	}
}

// Guards against broken guarantees to callers while faults of processes, store
// and hosts overlap: a task that is lost, that runs twice at once or again after
// its end was acknowledged, that runs though its job was refused or cancelled,
// that exceeds the capacity of its host, or that starts before the step it
// depends on is done.
func TestSoak(t *testing.T) {
	s := &soak{t: t, store: users.NewStore(), advice: users.NewAdvice(2 * time.Millisecond)}
	defer s.store.Close()
	defer s.advice.Close()
	s.publish()
	for i := range soakHosts {
		h := users.NewHost(fmt.Sprintf("i-%d", i), soakRunTime, s.store)
		defer h.Close()
		s.hosts = append(s.hosts, h)
	}
	for i := range soakNodes {
		s.nodes = append(s.nodes, startEntry(t, fmt.Sprintf("n%02d", i), s.store, s.advice))
	}
	waitUntil(t, "a submission is accepted", func() bool {
		code, _ := s.node(soakNodes-1).call(http.MethodPost, "ffffffffffffffff", (&soakJob{tasks: []int{1}}).body())
		return code == http.StatusOK
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range soakClients {
		clients.Go(func() { s.client(c, stop) })
	}
	end := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var faults sync.WaitGroup
	for i := range soakOverlap {
		faults.Go(func() {
			for r := rand.New(rand.NewPCG(*soakSeed, uint64(soakClients+1+i))); time.Now().Before(end); {
				s.injectFault(r)
			}
		})
	}
	faults.Wait()
	close(stop)
	clients.Wait()
	s.waitForAll()
	s.checkNodes()
	s.check()
}
