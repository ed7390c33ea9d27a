package settings

import "time"

const (
	nameUnit      = "a name of a-z, 0-9 and -"
	addressUnit   = `an address such as "127.0.0.1:8080"; port 0 lets the kernel choose`
	advertiseUnit = `an address such as "10.0.0.5:8080"; empty for the listening address`
	urlUnit       = `a URL such as "http://10.0.0.9:7000"`
)

type dur = time.Duration

// Table returns every setting in the order of the documentation.
func Table() []Setting {
	var out []Setting
	for _, section := range [][]Setting{nodeSettings(), timingSettings(), limitsSettings(), requestSettings(), operatorAndLogSettings()} {
		out = append(out, section...)
	}
	return out
}

func nodeSettings() []Setting {
	return []Setting{
		requiredSetting(textSetting("node.name", nameUnit, "", "Name of this entry process, unique in the cluster.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Name })),
		requiredSetting(textSetting("node.zone", nameUnit, "", "Availability zone that the process runs in.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Zone })),
		requiredSetting(textSetting("node.region", nameUnit, "", "Region that the availability zone is in.", namePattern.MatchString, func(s *Settings) *string { return &s.Node.Region })),
		textSetting("listen.http", addressUnit, "0.0.0.0:8080", "Listens for callers and operators.", isAddress, func(s *Settings) *string { return &s.Listen.HTTP }),
		textSetting("listen.peer", addressUnit, "0.0.0.0:8081", "Listens for the other entry nodes (grpc).", isAddress, func(s *Settings) *string { return &s.Listen.Peer }),
		textSetting("listen.metrics", addressUnit, "127.0.0.1:8082", "Serves the operators' network with /metrics, /v1/dump (operator token), /healthz and /readyz.", isAddress, func(s *Settings) *string { return &s.Listen.Metrics }),
		textSetting("listen.advertise_http", advertiseUnit, "", "Address for HTTP that other nodes hand out.", isAdvertiseAddress, func(s *Settings) *string { return &s.Listen.AdvertiseHTTP }),
		textSetting("listen.advertise_peer", advertiseUnit, "", "Address at which other nodes reach this one.", isAdvertiseAddress, func(s *Settings) *string { return &s.Listen.AdvertisePeer }),
		requiredSetting(textSetting("platform.log_url", urlUnit, "", "Address of the append-only log service.", isURL, func(s *Settings) *string { return &s.Platform.LogURL })),
		requiredSetting(textSetting("platform.hostlist_url", urlUnit, "", "Address of the list of live and leaving hosts.", isURL, func(s *Settings) *string { return &s.Platform.HostListURL })),
		durationSetting("platform.log_timeout", "1s", "50ms", "3s", "Bounds one append to the log service. Half of the authority of an owner at most, so that a renewal can be repeated.", func(s *Settings) *dur { return &s.Platform.LogTimeout }),
		durationSetting("platform.hostlist_every", "1s", "100ms", "1m", "Interval between readings of the host list.", func(s *Settings) *dur { return &s.Platform.HostListInterval }),
		durationSetting("platform.worker_interval", "2s", "100ms", "4s", "Longest interval between exchanges with one worker; each renews its leases. Below the 5 s after which a worker refuses a start as too old.", func(s *Settings) *dur { return &s.Platform.WorkerInterval }),
		countSetting("cluster.nodes", "entry nodes", 8, 1, 12, "Configured number of entry nodes, equal on all of them. Majorities are taken of at least this number. A node appends 8 times a second, and all together stay under 100.", func(s *Settings) *int { return &s.Cluster.Nodes }),
		countSetting("cluster.shards_per_zone", "shards", 2, 1, 64, "Shards that the hosts of one availability zone are split into. Equal on all nodes.", func(s *Settings) *int { return &s.Cluster.ShardsPerZone }),
	}
}

func timingSettings() []Setting {
	return []Setting{
		durationSetting("timing.drain_wait", "5s", "0s", "1m", "Time between readiness off and the end of new work, for the load balancer.", func(s *Settings) *dur { return &s.Timing.DrainWait }),
		durationSetting("timing.drain_timeout", "10m", "1s", "1h", "Longest time for requests in flight and the handover of shards at a planned stop.", func(s *Settings) *dur { return &s.Timing.DrainTimeout }),
	}
}

func limitsSettings() []Setting {
	return []Setting{
		countSetting("limits.queued_per_team", "requests", 256, 1, 100_000, "Requests of one team that wait for a runner.", func(s *Settings) *int { return &s.Limits.QueuedPerTeam }),
		countSetting("limits.watches", "streams", 500, 1, 100_000, "Job watches open at a time.", func(s *Settings) *int { return &s.Limits.Watches }),
		countSetting("limits.batch_jobs", "jobs", 1_000, 1, 100_000, "Jobs of one batch submission.", func(s *Settings) *int { return &s.Limits.BatchJobs }),
		sizeSetting("limits.job_bytes", "64KiB", "1KiB", "256KiB", "Body of one job submission.", func(s *Settings) *int64 { return &s.Limits.JobBytes }),
		sizeSetting("limits.batch_bytes", "4MiB", "1KiB", "64MiB", "Body of one batch submission.", func(s *Settings) *int64 { return &s.Limits.BatchBytes }),
		sizeSetting("limits.publication_bytes", "8MiB", "1KiB", "64MiB", "Body of one publication.", func(s *Settings) *int64 { return &s.Limits.PublicationBytes }),
		sizeSetting("limits.request_bytes", "1MiB", "1KiB", "64MiB", "Body of one request to an upstream.", func(s *Settings) *int64 { return &s.Limits.RequestBytes }),
		sizeSetting("limits.memory", "128MiB", "32MiB", "64GiB", "Memory that the Go runtime aims to stay under.", func(s *Settings) *int64 { return &s.Limits.Memory }),
	}
}

func requestSettings() []Setting {
	return []Setting{
		durationSetting("request.progress_timeout", "2s", "50ms", "5m", "Longest silence of a connection before it is proved by a fresh one.", func(s *Settings) *dur { return &s.Request.ProgressTimeout }),
		durationSetting("request.connect_timeout", "1s", "10ms", "30s", "Bounds connecting to a runner.", func(s *Settings) *dur { return &s.Request.ConnectTimeout }),
		durationSetting("request.default_deadline", "30s", "100ms", "30s", "Deadline of a request, and of an operation that does not wait for work, if its header Medlar-Deadline names none.", func(s *Settings) *dur { return &s.Request.DefaultDeadline }),
		countSetting("request.connections_per_runner", "connections", 9, 1, 60, "Connections of this node to one runner. All nodes together stay within the runner's 60.", func(s *Settings) *int { return &s.Request.ConnectionsPerRunner }),
	}
}

func operatorAndLogSettings() []Setting {
	acceptAny := func(string) bool { return true }
	return []Setting{
		textSetting("operator.token", "text", "", "Token of operators. Either this or operator.token_file is required.", acceptAny, func(s *Settings) *string { return &s.Operator.Token }),
		textSetting("operator.token_file", "a path; empty for none", "", "File that holds the token of operators.", acceptAny, func(s *Settings) *string { return &s.Operator.TokenFile }),
		textSetting("log.level", "one of debug, info, warn, error", "info", "Least level of log lines.", oneOf("debug", "info", "warn", "error"), func(s *Settings) *string { return &s.Log.Level }),
		textSetting("log.format", "one of text, json", "text", "Form of log lines.", oneOf("text", "json"), func(s *Settings) *string { return &s.Log.Format }),
	}
}
