package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Setting is one row of the table of settings.
type Setting struct {
	// Key is the dotted TOML key.
	Key string
	// Unit describes the form and unit of a value.
	Unit string
	// Default is the value in text form; empty if none.
	Default string
	// Range is the accepted range in words; empty if Unit is sufficient.
	Range string
	// Required means that a file must contain the setting; it has no default.
	Required bool
	// Doc is the description for operators.
	Doc string

	// set validates a TOML value and stores it in the settings. The text of its
	// error says what would be accepted.
	set func(*Settings, any) error
}

// accepted describes the values that the setting accepts.
func (s Setting) accepted() string {
	if s.Range == "" {
		return s.Unit
	}
	return s.Unit + ", " + s.Range
}

// fieldRef returns a pointer to the field that a setting is stored in.
type fieldRef[T any] func(*Settings) *T

func textSetting(key, unit, def, doc string, check func(string) bool, field fieldRef[string]) Setting {
	row := Setting{Key: key, Unit: unit, Default: def, Doc: doc}
	row.set = func(s *Settings, v any) error {
		str, ok := v.(string)
		if !ok || !check(str) {
			return fmt.Errorf("%s", row.accepted())
		}
		*field(s) = str
		return nil
	}
	return row
}

func requiredSetting(s Setting) Setting {
	s.Required = true
	return s
}

func durationSetting(key, def, low, high, doc string, field fieldRef[time.Duration]) Setting {
	row := Setting{Key: key, Unit: `a duration such as "1m30s" or "20ms"`, Default: def, Range: low + " to " + high, Doc: doc}
	from, to := mustDuration(low), mustDuration(high)
	row.set = func(s *Settings, v any) error {
		str, _ := v.(string)
		d, err := time.ParseDuration(str)
		if err != nil || d < from || d > to {
			return fmt.Errorf("%s", row.accepted())
		}
		*field(s) = d
		return nil
	}
	return row
}

func mustDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

func countSetting(key, unit string, def, low, high int, doc string, field fieldRef[int]) Setting {
	row := Setting{Key: key, Unit: "a whole number of " + unit, Default: strconv.Itoa(def), Range: fmt.Sprintf("%d to %d", low, high), Doc: doc}
	row.set = func(s *Settings, v any) error {
		n, ok := parseCount(v)
		if !ok || n < int64(low) || n > int64(high) {
			return fmt.Errorf("%s", row.accepted())
		}
		*field(s) = int(n)
		return nil
	}
	return row
}

// parseCount accepts a TOML integer, or the text of a default.
func parseCount(v any) (int64, bool) {
	if str, isDefault := v.(defaultText); isDefault {
		n, err := strconv.ParseInt(string(str), 10, 64)
		return n, err == nil
	}
	n, ok := v.(int64)
	return n, ok
}

// defaultText is the text of a default from the table of settings. Its own type
// distinguishes it from a TOML string, which is not accepted as a number.
type defaultText string

func sizeSetting(key, def, low, high, doc string, field fieldRef[int64]) Setting {
	row := Setting{Key: key, Unit: `a size such as "64KiB" or "8MiB"`, Default: def, Range: low + " to " + high, Doc: doc}
	from, _ := parseSize(low)
	to, _ := parseSize(high)
	row.set = func(s *Settings, v any) error {
		str, _ := v.(string)
		n, ok := parseSize(str)
		if !ok || n < from || n > to {
			return fmt.Errorf("%s", row.accepted())
		}
		*field(s) = n
		return nil
	}
	return row
}

var sizePattern = regexp.MustCompile(`^([1-9][0-9]{0,8})(KiB|MiB|GiB)$`)

func parseSize(s string) (int64, bool) {
	m := sizePattern.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	return n << map[string]int{"KiB": 10, "MiB": 20, "GiB": 30}[m[2]], err == nil
}

func oneOf(values ...string) func(string) bool {
	return func(s string) bool { return slices.Contains(values, s) }
}

var namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// isAdvertiseAddress accepts an address that other nodes can connect to, or an
// empty one.
func isAdvertiseAddress(s string) bool {
	if s == "" {
		return true
	}
	host, port, err := net.SplitHostPort(s)
	return err == nil && isAddress(s) && port != "0" && host != ""
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && !strings.ContainsAny(s, " \t\n")
}
