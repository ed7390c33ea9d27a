package logsvc

import "time"

// Options are the time limits of Client. Zero values stand for the defaults.
type Options struct {
	// DialTimeout limits connecting; the default is 1 s.
	DialTimeout time.Duration
	// AppendTimeout limits one append; the default is 2 s, the time between
	// two renewals.
	AppendTimeout time.Duration
	// PollWait is how long the service may hold a read that has no records;
	// the default is 1 s.
	PollWait time.Duration
	// ReadTimeout limits one read beyond PollWait; the default is 3 s.
	ReadTimeout time.Duration
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.DialTimeout, time.Second)
	set(&o.AppendTimeout, 2*time.Second)
	set(&o.PollWait, time.Second)
	set(&o.ReadTimeout, 3*time.Second)
	return o
}
