package owner

import "runtime/debug"

// unlock unlocks ow.mu. It is deferred where the state of the owner is changed: after a
// panic the state may be changed in part, so nothing may use it any more.
func (ow *Owner) unlock() {
	if v := recover(); v != nil {
		ow.fail(v)
	}
	ow.mu.Unlock()
}

// withState runs f under the lock, unless the state may not be used any more.
func (ow *Owner) withState(f func()) {
	ow.mu.Lock()
	defer ow.unlock()
	if !ow.broken {
		f()
	}
}

// guard is deferred in each goroutine of the owner, so that a panic there ends the term
// and not the process, which also serves callers.
func (ow *Owner) guard() {
	if v := recover(); v != nil {
		ow.mu.Lock()
		defer ow.mu.Unlock()
		ow.fail(v)
	}
}

// runGuarded runs f in a goroutine of the owner.
func (ow *Owner) runGuarded(f func()) {
	ow.goroutines.Go(func() {
		defer ow.guard()
		f()
	})
}

// fail ends the term after a panic. The caller holds ow.mu.
func (ow *Owner) fail(v any) {
	ow.broken = true
	ow.authority.revoke()
	ow.options.Log.Error("A fault of the program ends the term.", "token", ow.options.Self.Token, "panic", v, "stack", string(debug.Stack()))
	ow.loseOwnership("fault of the program")
}

// Abort ends the term, since code that uses the owner has failed in between.
func (ow *Owner) Abort(reason string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.broken = true
	ow.authority.revoke()
	ow.loseOwnership(reason)
}

// isBroken reports whether the state may not be used any more.
func (ow *Owner) isBroken() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.broken
}
