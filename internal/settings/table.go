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
	for _, part := range [][]Setting{placeTable(), timingTable(), limitsTable(), requestTable(), outputTable()} {
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
		text("listen.metrics", addressUnit, "127.0.0.1:8082", "Serves the operators' network with /metrics, /v1/dump (operator token), /healthz and /readyz.", isAddress, func(s *Settings) *string { return &s.Listen.Metrics }),
		text("listen.advertise_http", publicUnit, "", "Address for HTTP that other nodes hand out.", isPublicAddress, func(s *Settings) *string { return &s.Listen.AdvertiseHTTP }),
		text("listen.advertise_peer", publicUnit, "", "Address at which other nodes reach this one.", isPublicAddress, func(s *Settings) *string { return &s.Listen.AdvertisePeer }),
		required(text("platform.log_url", urlUnit, "", "Address of the append-only log service.", isURL, func(s *Settings) *string { return &s.Platform.LogURL })),
		required(text("platform.hostlist_url", urlUnit, "", "Address of the list of live and leaving hosts.", isURL, func(s *Settings) *string { return &s.Platform.HostListURL })),
		duration("platform.log_timeout", "1s", "50ms", "3s", "Bounds one append to the log service. Half of the authority of an owner at most, so that a renewal can be repeated.", func(s *Settings) *dur { return &s.Platform.LogTimeout }),
		duration("platform.hostlist_every", "1s", "100ms", "1m", "Interval between readings of the host list.", func(s *Settings) *dur { return &s.Platform.HostListEvery }),
		duration("platform.worker_interval", "2s", "100ms", "4s", "Longest interval between exchanges with one worker; each renews its leases. Below the 5 s after which a worker refuses a start as too old.", func(s *Settings) *dur { return &s.Platform.WorkerInterval }),
		count("cluster.nodes", "entry nodes", 8, 1, 12, "Configured number of entry nodes, equal on all of them. Majorities are taken of at least this number. A node appends 8 times a second, and all together stay under 100.", func(s *Settings) *int { return &s.Cluster.Nodes }),
		count("cluster.shards_per_zone", "shards", 2, 1, 64, "Shards that the hosts of one availability zone are split into. Equal on all nodes.", func(s *Settings) *int { return &s.Cluster.ShardsPerZone }),
	}
}

func timingTable() []Setting {
	return []Setting{
		duration("timing.drain_wait", "5s", "0s", "1m", "Time between readiness off and the end of new work, for the load balancer.", func(s *Settings) *dur { return &s.Timing.DrainWait }),
		duration("timing.drain_timeout", "10m", "1s", "1h", "Longest time for requests in flight and the handover of shards at a planned stop.", func(s *Settings) *dur { return &s.Timing.DrainTimeout }),
	}
}

func limitsTable() []Setting {
	return []Setting{
		count("limits.queued_per_team", "requests", 256, 1, 100_000, "Requests of one team that wait for a runner.", func(s *Settings) *int { return &s.Limits.QueuedPerTeam }),
		count("limits.watches", "streams", 500, 1, 100_000, "Job watches open at a time.", func(s *Settings) *int { return &s.Limits.Watches }),
		count("limits.batch_jobs", "jobs", 1_000, 1, 100_000, "Jobs of one batch submission.", func(s *Settings) *int { return &s.Limits.BatchJobs }),
		size("limits.job_bytes", "64KiB", "1KiB", "256KiB", "Body of one job submission.", func(s *Settings) *int64 { return &s.Limits.JobBytes }),
		size("limits.batch_bytes", "4MiB", "1KiB", "64MiB", "Body of one batch submission.", func(s *Settings) *int64 { return &s.Limits.BatchBytes }),
		size("limits.publication_bytes", "8MiB", "1KiB", "64MiB", "Body of one publication.", func(s *Settings) *int64 { return &s.Limits.PublicationBytes }),
		size("limits.request_bytes", "1MiB", "1KiB", "64MiB", "Body of one request to an upstream.", func(s *Settings) *int64 { return &s.Limits.RequestBytes }),
		size("limits.memory", "128MiB", "32MiB", "64GiB", "Memory that the Go runtime aims to stay under.", func(s *Settings) *int64 { return &s.Limits.Memory }),
	}
}

func requestTable() []Setting {
	return []Setting{
		duration("request.progress_timeout", "2s", "50ms", "5m", "Longest silence of a connection before it is proved by a fresh one.", func(s *Settings) *dur { return &s.Request.ProgressTimeout }),
		duration("request.connect_timeout", "1s", "10ms", "30s", "Bounds connecting to a runner.", func(s *Settings) *dur { return &s.Request.ConnectTimeout }),
		duration("request.default_deadline", "30s", "100ms", "30s", "Deadline of a request, and of an operation that does not wait for work, if its header Medlar-Deadline names none.", func(s *Settings) *dur { return &s.Request.DefaultDeadline }),
		count("request.connections_per_runner", "connections", 9, 1, 60, "Connections of this node to one runner. All nodes together stay within the runner's 60.", func(s *Settings) *int { return &s.Request.ConnectionsPerRunner }),
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
