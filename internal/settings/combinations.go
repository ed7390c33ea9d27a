package settings

import (
	"fmt"
	"time"
)

// combinations finds settings that are valid each but not together.
func combinations(file string, s Settings) (faults Faults) {
	atMost := func(field string, value, most time.Duration, why string) {
		if value > most {
			faults = append(faults, Fault{file, field, value.String(), fmt.Sprintf("at most %s: %s", most, why)})
		}
	}
	t := s.Timing
	// Two renewals may be lost before authority ends.
	atMost("timing.renew_every", t.RenewEvery, t.Authority/3, "a third of timing.authority")
	atMost("timing.outage_authority", t.OutageAuthority, t.OutagePromise, "timing.outage_promise, so that no confirming node appends while authority lasts")
	atMost("timing.outage_confirm_after", t.OutageConfirmAfter, t.Authority/2, "half of timing.authority, so that outage mode begins before authority ends")
	atMost("timing.exchange_every", t.ExchangeEvery, t.SuspectAfter/2, "half of timing.suspect_after")
	atMost("timing.pause_allowance", t.PauseAllowance, t.Authority/2, "half of timing.authority")
	atMost("platform.worker_interval", s.Platform.WorkerInterval, t.StartMaxAge*4/5, "four fifths of timing.start_max_age, so that starts carry a timestamp that a worker takes")
	atMost("platform.log_timeout", s.Platform.LogTimeout, t.Authority/2, "half of timing.authority, so that a renewal can be repeated")
	atMost("request.default_deadline", s.Request.DefaultDeadline, s.Request.MaxDeadline, "request.max_deadline")
	atMost("request.max_deadline", s.Request.MaxDeadline, s.Request.IDMemory, "request.id_memory, so that an id is remembered until its request has ended")
	if s.Cluster.Nodes*s.Batching.PerSecond > 100 {
		faults = append(faults, Fault{file, "batching.per_second", fmt.Sprint(s.Batching.PerSecond),
			fmt.Sprintf("at most %d: all %d nodes together stay within 100 appends a second", 100/s.Cluster.Nodes, s.Cluster.Nodes)})
	}
	// One append must be able to hold the largest job.
	if s.Limits.JobBytes > s.Batching.MaxBytes {
		faults = append(faults, Fault{file, "limits.job_bytes", fmt.Sprint(s.Limits.JobBytes),
			fmt.Sprintf("at most %d: batching.max_bytes", s.Batching.MaxBytes)})
	}
	faults = append(faults, addresses(file, s.Listen)...)
	if s.Operator.Token == "" && s.Operator.TokenFile == "" {
		faults = append(faults, Fault{file, "operator.token", "", "a token, or operator.token_file; operator routes are never open in a cluster"})
	}
	if s.Operator.Token != "" && s.Operator.TokenFile != "" {
		faults = append(faults, Fault{file, "operator.token_file", s.Operator.TokenFile, "either operator.token or operator.token_file, not both"})
	}
	return faults
}

// addresses finds two listeners on one address.
func addresses(file string, l Listen) (faults Faults) {
	seen := map[string]string{}
	for _, a := range []struct{ field, value string }{{"listen.http", l.HTTP}, {"listen.peer", l.Peer}, {"listen.metrics", l.Metrics}} {
		if other, taken := seen[a.value]; taken && a.value[len(a.value)-2:] != ":0" {
			faults = append(faults, Fault{file, a.field, a.value, "an address that " + other + " does not have"})
		}
		seen[a.value] = a.field
	}
	return faults
}
