package measure

// deployment describes an example deployment: its zones, shards and upstream, and
// the queues of its teams.
type deployment struct {
	zones         []string
	shardsPerZone int
	upstream      string
	// queues maps each team to the queue that it submits to.
	queues map[string]string
	// urgentTeam submits urgent jobs and requests.
	urgentTeam string
}

// deploymentOf returns the deployment of an example.
func deploymentOf(example string) deployment {
	switch example {
	case "grantveji":
		return deployment{
			zones: []string{"riga-a", "riga-b", "riga-c", "riga-d"}, shardsPerZone: 1, upstream: "render", urgentTeam: "previews",
			queues: map[string]string{"previews": "interactive", "labs": "interactive", "rescans": "weekly", "digest": "weekly", "archive": "bulk", "research": "bulk"},
		}
	case "hawkrest":
		return deployment{
			zones: []string{"taipei-a", "taipei-b", "taichung-a"}, shardsPerZone: 1, upstream: "ledger", urgentTeam: "orders",
			queues: map[string]string{"orders": "orders", "workshops": "orders", "supply": "orders", "billing": "billing", "patterns": "nightly", "franchise": "nightly"},
		}
	default:
		return deployment{
			zones:         []string{"north-a", "north-b", "north-c", "middle-a", "middle-b", "south-a", "south-b"},
			shardsPerZone: 2, upstream: "render", urgentTeam: "team-00",
		}
	}
}

// queue returns the queue of a team, by default main.
func (d deployment) queue(team string) string {
	if q := d.queues[team]; q != "" {
		return q
	}
	return "main"
}
