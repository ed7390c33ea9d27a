package desiredcheck

// shownKeyRunes is how much of an API key is shown. A key that is not longer is not shown
// at all.
const shownKeyRunes = 4

// mask returns the beginning of an API key.
func mask(key string) string {
	runes := []rune(key)
	if len(runes) <= shownKeyRunes {
		return "..."
	}
	return string(runes[:shownKeyRunes]) + "..."
}
