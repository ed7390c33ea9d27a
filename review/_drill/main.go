// The drill starts entry processes beside stand-ins and plays one case of the
// review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// delay is how long the proxy before the store holds each call, if viaProxy is set.
var (
	delay    atomic.Int64
	viaProxy bool
)

var trouble = os.Getenv("TROUBLE") != "0"

func fatal(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", a...)
	endAll()
	os.Exit(2)
}

// world is the surroundings of a small deployment.
type world struct {
	dir     string
	store   *users.Store
	advice  *users.Advice
	rec     *recorder
	runners []*runner
	entries []*entry
}

// newWorld starts runners and entry processes, and waits until all are ready and
// one of them owns the cell.
func newWorld(record string, runners, racks, entries int, config string) *world {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		fatal("%v", err)
	}
	w := &world{dir: dir, store: users.NewStore(), advice: users.NewAdvice(2 * time.Millisecond), rec: newRecorder(record)}
	w.store.Put("keyed.op", "config", []byte(config))
	for i := range runners {
		w.runners = append(w.runners, newRunner(fmt.Sprintf("i-%d", i), kindOf(i), fmt.Sprintf("r1-%d", i%racks), w.store, w.rec))
	}
	address := w.store.Address()
	if viaProxy {
		address = slowStore(address, &delay)
	}
	for i := range entries {
		w.entries = append(w.entries, newEntry(dir, fmt.Sprintf("n%d", i+1), address, w.advice.Address()))
	}
	w.await("all entry processes are ready and one owns the cell", 20*time.Second, func() bool {
		for _, e := range w.entries {
			if !e.isReady() {
				return false
			}
		}
		return w.owner() != nil
	})
	return w
}

// kindOf returns the kind of a runner: the first one is of a kind of its own.
func kindOf(i int) string {
	if i == 0 {
		return "special"
	}
	return "plain"
}

func (w *world) owner() *entry {
	for _, e := range w.entries {
		if e.owns() {
			return e
		}
	}
	return nil
}

func (w *world) await(what string, most time.Duration, ok func() bool) {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	fatal("not met in %s: %s", most, what)
}

// end ends all processes, says the result and exits.
func (w *world) end(broken []string) {
	endAll()
	for _, b := range broken {
		w.rec.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rule held")
	os.Exit(0)
}

func main() {
	if len(os.Args) != 3 {
		fatal("use: drill CASE RECORD")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { fatal("ended by signal %v", <-signals) }()
	play, ok := cases[os.Args[1]]
	if !ok {
		fatal("no case %q", os.Args[1])
	}
	play(os.Args[2])
}

var cases = map[string]func(record string){"crashes": playCrashes, "idle": playIdle, "services": playServices, "restarts": playRestarts, "return": playReturn, "lease": playLease, "large": playLarge, "wide": playWide, "chaos": playChaos, "looping": playLooping, "cuts": playCuts}
