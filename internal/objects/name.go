package objects

import "regexp"

const nameRule = "1 to 63 of a-z, 0-9 and -, starting with a letter and not ending with -"

var namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)

func validName(s string) bool { return namePattern.MatchString(s) }
