package settings

import "time"

const (
	nameUnit    = "a name of a-z, 0-9 and -"
	addressUnit = `an address such as "127.0.0.1:8080"; port 0 lets the kernel choose`
	publicUnit  = `an address such as "10.0.0.5:8080"; empty for the listening address`
	urlUnit     = `a URL such as "http://10.0.0.9:7000"`
)

type dur = time.Duration

// Table lists every setting in the order of the documentation.
func Table() []Setting {
	var out []Setting
	for _, part := range [][]Setting{placeTable(), timingTable(), batchingTable(), limitsTable(), requestTable(), outputTable()} {
		out = append(out, part...)
	}
	return out
}

func placeTable() []Setting {
	return []Setting{
		required(text("node.name", nameUnit, "", "Name of this entry process, unique in the cluster.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Name })),
		required(text("node.zone", nameUnit, "", "Availability zone that the process runs in.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Zone })),
		required(text("node.region", nameUnit, "", "Region that the availability zone is in.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Region })),
		text("listen.http", addressUnit, "0.0.0.0:8080", "Listens for callers and operators.", isAddress, func(s *Settings) *string { return &s.Listen.HTTP }),
		text("listen.peer", addressUnit, "0.0.0.0:8081", "Listens for the other entry nodes (grpc).", isAddress, func(s *Settings) *string { return &s.Listen.Peer }),
		text("listen.metrics", addressUnit, "127.0.0.1:8082", "Serves metrics and the dump to the operators' network.", isAddress, func(s *Settings) *string { return &s.Listen.Metrics }),
		text("listen.advertise_http", publicUnit, "", "Address for HTTP that other nodes hand out.", isPublicAddress, func(s *Settings) *string { return &s.Listen.AdvertiseHTTP }),
		text("listen.advertise_peer", publicUnit, "", "Address at which other nodes reach this one.", isPublicAddress, func(s *Settings) *string { return &s.Listen.AdvertisePeer }),
		required(text("platform.log_url", urlUnit, "", "Address of the append-only log service.", isURL, func(s *Settings) *string { return &s.Platform.LogURL })),
		required(text("platform.hostlist_url", urlUnit, "", "Address of the list of live and leaving hosts.", isURL, func(s *Settings) *string { return &s.Platform.HostListURL })),
		duration("platform.log_timeout", "1s", "50ms", "30s", "Bounds one call to the log service.", func(s *Settings) *dur { return &s.Platform.LogTimeout }),
		duration("platform.hostlist_every", "1s", "100ms", "1m", "Interval between readings of the host list.", func(s *Settings) *dur { return &s.Platform.HostListEvery }),
		duration("platform.worker_timeout", "2s", "50ms", "30s", "Bounds one exchange with a worker.", func(s *Settings) *dur { return &s.Platform.WorkerTimeout }),
		duration("platform.worker_interval", "2s", "100ms", "30s", "Longest interval between exchanges with one worker; each renews its leases.", func(s *Settings) *dur { return &s.Platform.WorkerInterval }),
		count("cluster.nodes", "entry nodes", 8, 1, 64, "Configured number of entry nodes. Majorities are taken of at least this number.", func(s *Settings) *int { return &s.Cluster.Nodes }),
		count("cluster.shards_per_zone", "shards", 2, 1, 64, "Shards that the hosts of one availability zone are split into. Equal on all nodes.", func(s *Settings) *int { return &s.Cluster.ShardsPerZone }),
	}
}

func timingTable() []Setting {
	return []Setting{
		duration("timing.renew_every", "2s", "100ms", "1m", "Interval between renewals in the log.", func(s *Settings) *dur { return &s.Timing.RenewEvery }),
		duration("timing.authority", "6s", "500ms", "5m", "Authority after the send time of the last accepted renewal.", func(s *Settings) *dur { return &s.Timing.Authority }),
		duration("timing.outage_authority", "3s", "100ms", "1m", "Authority after the send time of a confirmation by a majority while the log is unavailable.", func(s *Settings) *dur { return &s.Timing.OutageAuthority }),
		duration("timing.outage_confirm_after", "2s", "100ms", "1m", "A node confirms an outage only after it has not reached the log for this long.", func(s *Settings) *dur { return &s.Timing.OutageConfirmAfter }),
		duration("timing.outage_promise", "3s", "100ms", "1m", "A node that confirmed an outage does not append for this long.", func(s *Settings) *dur { return &s.Timing.OutagePromise }),
		duration("timing.outage_total", "2h", "1s", "24h", "Outage mode ends after this time in total.", func(s *Settings) *dur { return &s.Timing.OutageTotal }),
		duration("timing.pause_allowance", "500ms", "1ms", "10s", "Allowance for a paused process when durations of two processes are compared.", func(s *Settings) *dur { return &s.Timing.PauseAllowance }),
		count("timing.drift_percent", "percent", 1, 0, 10, "Largest difference between the rates of two clocks.", func(s *Settings) *int { return &s.Timing.DriftPercent }),
		duration("timing.start_max_age", "5s", "100ms", "1m", "A worker refuses a start whose timestamp is older.", func(s *Settings) *dur { return &s.Timing.StartMaxAge }),
		duration("timing.exchange_every", "2s", "50ms", "30s", "Interval between exchanges with each entry node.", func(s *Settings) *dur { return &s.Timing.ExchangeEvery }),
		duration("timing.suspect_after", "6s", "200ms", "5m", "An entry node that was silent for this long is suspected.", func(s *Settings) *dur { return &s.Timing.SuspectAfter }),
		duration("timing.fresh_for", "5s", "100ms", "1m", "A node that neither read the log nor heard from a reader for this long refuses work that came with a key.", func(s *Settings) *dur { return &s.Timing.FreshFor }),
		duration("timing.join_settle", "30s", "0s", "10m", "A node that joined more recently gets no shard from a live owner.", func(s *Settings) *dur { return &s.Timing.JoinSettle }),
		duration("timing.leaving_notice", "3s", "0s", "1m", "An upstream host that is leaving receives nothing new after this time.", func(s *Settings) *dur { return &s.Timing.LeavingNotice }),
		duration("timing.drain_wait", "5s", "0s", "1m", "Time between readiness off and the end of new work, for the load balancer.", func(s *Settings) *dur { return &s.Timing.DrainWait }),
		duration("timing.drain_timeout", "10m", "1s", "1h", "Longest time for requests in flight and the handover of shards at a planned stop.", func(s *Settings) *dur { return &s.Timing.DrainTimeout }),
		duration("timing.allotment_idle", "2s", "100ms", "10m", "Allotment that a shard did not use for this long is returned on demand.", func(s *Settings) *dur { return &s.Timing.AllotmentIdle }),
		duration("timing.decide_every", "20ms", "1ms", "1s", "Longest wait of an event before the scheduler of its shard decides.", func(s *Settings) *dur { return &s.Timing.DecideEvery }),
	}
}

func batchingTable() []Setting {
	return []Setting{
		duration("batching.jobs", "20ms", "0s", "10s", "Accepted jobs wait this long for others before an append.", func(s *Settings) *dur { return &s.Batching.Jobs }),
		duration("batching.intents", "20ms", "0s", "10s", "The same for intents to start non-idempotent tasks.", func(s *Settings) *dur { return &s.Batching.Intents }),
		duration("batching.cancels", "50ms", "0s", "10s", "The same for cancellations.", func(s *Settings) *dur { return &s.Batching.Cancels }),
		duration("batching.moves", "50ms", "0s", "10s", "The same for moves of tasks to another shard.", func(s *Settings) *dur { return &s.Batching.Moves }),
		duration("batching.outcomes", "500ms", "0s", "10s", "The same for outcomes of tasks.", func(s *Settings) *dur { return &s.Batching.Outcomes }),
		duration("batching.transfers", "1s", "0s", "10s", "The same for transfers of allotment.", func(s *Settings) *dur { return &s.Batching.Transfers }),
		count("batching.per_second", "appends a second", 10, 1, 100, "Most appends of this node. All nodes together stay under 100.", func(s *Settings) *int { return &s.Batching.PerSecond }),
		size("batching.max_bytes", "256KiB", "16KiB", "16MiB", "Largest append.", func(s *Settings) *int64 { return &s.Batching.MaxBytes }),
	}
}

func limitsTable() []Setting {
	return []Setting{
		count("limits.jobs", "jobs", 50_000, 1, 10_000_000, "Jobs that the ledger holds, finished ones included.", func(s *Settings) *int { return &s.Limits.Jobs }),
		count("limits.waiting_tasks", "tasks", 200_000, 1, 100_000_000, "Waiting tasks in the cluster; further jobs are refused.", func(s *Settings) *int { return &s.Limits.WaitingTasks }),
		count("limits.running_tasks", "tasks", 50_000, 1, 10_000_000, "Running tasks of one shard.", func(s *Settings) *int { return &s.Limits.RunningTasks }),
		count("limits.requests", "requests", 4_000, 1, 1_000_000, "Requests in flight through this node.", func(s *Settings) *int { return &s.Limits.Requests }),
		count("limits.queued_per_team", "requests", 200, 1, 100_000, "Requests of one team that wait for a runner.", func(s *Settings) *int { return &s.Limits.QueuedPerTeam }),
		count("limits.watches", "streams", 500, 1, 100_000, "Job watches open at a time.", func(s *Settings) *int { return &s.Limits.Watches }),
		count("limits.batch_jobs", "jobs", 1_000, 1, 100_000, "Jobs of one batch submission.", func(s *Settings) *int { return &s.Limits.BatchJobs }),
		size("limits.job_bytes", "64KiB", "1KiB", "1MiB", "Body of one job submission.", func(s *Settings) *int64 { return &s.Limits.JobBytes }),
		size("limits.batch_bytes", "4MiB", "1KiB", "64MiB", "Body of one batch submission.", func(s *Settings) *int64 { return &s.Limits.BatchBytes }),
		size("limits.publication_bytes", "8MiB", "1KiB", "64MiB", "Body of one publication.", func(s *Settings) *int64 { return &s.Limits.PublicationBytes }),
		size("limits.request_bytes", "1MiB", "1KiB", "64MiB", "Body of one request to an upstream.", func(s *Settings) *int64 { return &s.Limits.RequestBytes }),
		size("limits.memory", "128MiB", "32MiB", "64GiB", "Memory that the Go runtime aims to stay under.", func(s *Settings) *int64 { return &s.Limits.Memory }),
	}
}

func requestTable() []Setting {
	return []Setting{
		count("request.retry_percent", "percent", 10, 0, 100, "Part of the traffic that may be retries.", func(s *Settings) *int { return &s.Request.RetryPercent }),
		duration("request.slot_lease", "2s", "100ms", "1m", "Length of a lease on slots of a runner.", func(s *Settings) *dur { return &s.Request.SlotLease }),
		duration("request.id_memory", "10m", "1s", "24h", "How long the id of a non-idempotent request is remembered.", func(s *Settings) *dur { return &s.Request.IDMemory }),
		duration("request.progress_timeout", "2s", "50ms", "5m", "Longest silence of a connection before it is proved by a fresh one.", func(s *Settings) *dur { return &s.Request.ProgressTimeout }),
		duration("request.connect_timeout", "500ms", "10ms", "30s", "Bounds connecting to a runner.", func(s *Settings) *dur { return &s.Request.ConnectTimeout }),
		duration("request.default_deadline", "30s", "100ms", "1h", "Deadline of a request that names none.", func(s *Settings) *dur { return &s.Request.DefaultDeadline }),
		duration("request.max_deadline", "10m", "100ms", "24h", "Longest deadline that a caller may name.", func(s *Settings) *dur { return &s.Request.MaxDeadline }),
		count("request.connections_per_runner", "connections", 8, 1, 60, "Connections of this node to one runner. All nodes together stay within the runner's 60.", func(s *Settings) *int { return &s.Request.ConnectionsPerRunner }),
	}
}

func outputTable() []Setting {
	anything := func(string) bool { return true }
	return []Setting{
		text("operator.token", "text", "", "Token of operators. Either this or operator.token_file is required.", anything, func(s *Settings) *string { return &s.Operator.Token }),
		text("operator.token_file", "a path; empty for none", "", "File that holds the token of operators.", anything, func(s *Settings) *string { return &s.Operator.TokenFile }),
		text("log.level", "one of debug, info, warn, error", "info", "Least level of log lines.", oneOf("debug", "info", "warn", "error"), func(s *Settings) *string { return &s.Log.Level }),
		text("log.format", "one of text, json", "text", "Form of log lines.", oneOf("text", "json"), func(s *Settings) *string { return &s.Log.Format }),
	}
}
