package settings

// combinations finds settings that are valid each but not together.
func combinations(file string, s Settings) (faults Faults) {
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
