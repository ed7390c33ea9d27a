package logsvc

import "time"

// Options are the timeouts of Client. Values of zero or below mean the defaults.
type Options struct {
	// DialTimeout limits the time to open a connection; the default is 1 s.
	DialTimeout time.Duration
	// AppendTimeout limits one append; the default is 2 s, the interval between
	// two lease renewals.
	AppendTimeout time.Duration
	// LongPollTimeout is how long the service may hold a read while there are no
	// records; the default is 1 s.
	LongPollTimeout time.Duration
	// ReadTimeout limits one read, in addition to LongPollTimeout; the default
	// is 3 s.
	ReadTimeout time.Duration
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.AppendTimeout, 2*time.Second)
	setDefault(&o.LongPollTimeout, time.Second)
	setDefault(&o.ReadTimeout, 3*time.Second)
	return o
}
