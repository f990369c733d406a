package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	maxNameLength  = 63
	minTokenLength = 16
	maxTimeout     = time.Hour
)

var identifierPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

func hostID(v string) structs.HostID { return structs.HostID(v) }

// stringValue returns a TOML value that must be a string.
func stringValue(value any) (string, error) {
	v, ok := value.(string)
	if !ok {
		return "", fmt.Errorf("must be a string, not %s", typeName(value))
	}
	return v, nil
}

// typeName returns the TOML type of a value as error messages name it.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int64:
		return "a whole number"
	case float64:
		return "a floating-point number"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case map[string]any, []map[string]any:
		return "a table"
	}
	return "a date or time"
}

// identifier accepts a short lowercase name.
func identifier(set func(*Settings, string)) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return err
		}
		if len(v) > maxNameLength || !identifierPattern.MatchString(v) {
			return fmt.Errorf("%q must be 1 to %d lowercase letters, digits, dots and hyphens", v, maxNameLength)
		}
		set(s, v)
		return nil
	}
}

// integer accepts a number from low to high.
func integer(low, high int, dest func(*Settings) *int) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, ok := value.(int64)
		if !ok {
			return fmt.Errorf("must be a whole number, not %s", typeName(value))
		}
		if v < int64(low) || v > int64(high) {
			return fmt.Errorf("%d must be between %d and %d", v, low, high)
		}
		*dest(s) = int(v)
		return nil
	}
}

// listenAddress accepts an address to listen on, which may be unspecified.
func listenAddress(dest func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return err
		}
		if _, err := parseAddrPort(v); err != nil {
			return err
		}
		*dest(s) = v
		return nil
	}
}

// dialAddress accepts an address to connect to, which must not be unspecified.
func dialAddress(dest func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return err
		}
		if err := checkDialAddress(v); err != nil {
			return err
		}
		*dest(s) = v
		return nil
	}
}

// dialAddresses accepts a list of addresses to connect to.
func dialAddresses(dest func(*Settings) *[]string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		list, ok := value.([]any)
		if !ok {
			return fmt.Errorf("must be a list of addresses, not %s", typeName(value))
		}
		var errs []error
		for _, item := range list {
			v, err := stringValue(item)
			if err == nil {
				err = checkDialAddress(v)
			}
			errs = append(errs, err)
			*dest(s) = append(*dest(s), v)
		}
		return errors.Join(errs...)
	}
}

func parseAddrPort(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		return a, fmt.Errorf("%q must be an IP address and a port, such as 10.1.0.11:8080", v)
	}
	return a, nil
}

func checkDialAddress(v string) error {
	a, err := parseAddrPort(v)
	if err == nil && a.Addr().IsUnspecified() {
		return fmt.Errorf("%q must be an address that other hosts can connect to", v)
	}
	return err
}

// token accepts a secret of visible ASCII characters.
func token(dest func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return err
		}
		if len(v) < minTokenLength || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
			// The value is a secret and stays out of the message.
			return fmt.Errorf("must be at least %d visible ASCII characters", minTokenLength)
		}
		*dest(s) = v
		return nil
	}
}

// duration accepts a positive duration up to maxTimeout, in Go's notation.
func duration(dest func(*Settings) *time.Duration) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return fmt.Errorf("%w; write a duration with its unit, such as \"1.5s\"", err)
		}
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q must be a duration with its unit (ms, s, m, h), such as \"1.5s\"", v)
		}
		if d <= 0 || d > maxTimeout {
			return fmt.Errorf("%q must be more than 0 and at most %v", v, maxTimeout)
		}
		*dest(s) = d
		return nil
	}
}

// sizeUnits are tried in order; "B" comes last, since all of them end with it.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

const maxSize = 4 << 30 // bytes

// byteSize accepts a size with its unit.
func byteSize(dest func(*Settings) *int64) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		v, err := stringValue(value)
		if err != nil {
			return fmt.Errorf("%w; write a size with its unit, such as \"64KiB\"", err)
		}
		n, err := parseSize(v)
		if err != nil {
			return err
		}
		*dest(s) = n
		return nil
	}
}

func parseSize(v string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			break
		}
		if n <= 0 || n > maxSize/u.bytes {
			return 0, fmt.Errorf("%q must be more than 0 and at most 4GiB", v)
		}
		return n * u.bytes, nil
	}
	return 0, fmt.Errorf("%q must be a size with its unit (B, KiB, MiB, GiB), such as \"64KiB\"", v)
}

// logLevel sets the log level by its name.
func logLevel(s *Settings, value any) error {
	v, err := stringValue(value)
	if err != nil {
		return err
	}
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	l, ok := levels[v]
	if !ok {
		return fmt.Errorf("%q must be debug, info, warn or error", v)
	}
	s.LogLevel = l
	return nil
}
