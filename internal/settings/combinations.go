package settings

// checkCombinations finds settings that are valid individually but not together.
func checkCombinations(file string, s Settings) (faults Faults) {
	faults = append(faults, checkListenAddresses(file, s.Listen)...)
	if s.Operator.Token == "" && s.Operator.TokenFile == "" {
		faults = append(faults, Fault{file, "operator.token", "", "a token, or operator.token_file; operator routes are never open in a cluster"})
	}
	if s.Operator.Token != "" && s.Operator.TokenFile != "" {
		faults = append(faults, Fault{file, "operator.token_file", s.Operator.TokenFile, "either operator.token or operator.token_file, not both"})
	}
	return faults
}

// checkListenAddresses finds listeners with the same address. Port 0 may repeat,
// since the kernel chooses a different port for each listener.
func checkListenAddresses(file string, l Listen) (faults Faults) {
	seen := map[string]string{}
	for _, a := range []struct{ field, value string }{{"listen.http", l.HTTP}, {"listen.peer", l.Peer}, {"listen.metrics", l.Metrics}} {
		if other, taken := seen[a.value]; taken && a.value[len(a.value)-2:] != ":0" {
			faults = append(faults, Fault{file, a.field, a.value, "an address that " + other + " does not have"})
		}
		seen[a.value] = a.field
	}
	return faults
}
