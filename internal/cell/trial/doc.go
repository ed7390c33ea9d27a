// Package trial decides on trials: work that may have crashed a host is tried alone on a host,
// which is kept free of other work for it. The package decides how many hosts trials may hold,
// which work comes first, which hosts it takes, when a trial has cleared its task, and what a
// trial with an unknown outcome counts as. Its types are kept by the scheduler;
// it reads no hosts or submissions itself.
package trial
