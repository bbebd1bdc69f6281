package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Bounds on combinations of timing settings.
const (
	// MaxConfigDelaySeconds bounds the time until an accepted configuration takes effect
	// on every host, which is the confirmation time plus one poll interval.
	MaxConfigDelaySeconds = 11
	// outageMarginSeconds is the maximum age of a peer's read of the configuration row that
	// shows that an outage of the table service is local to one host. The confirmation time
	// must exceed the poll interval by at least this margin. Otherwise every host would stop
	// serving for some seconds in each outage of the table service, because its peers may
	// have read the row up to one poll interval after its own last read.
	outageMarginSeconds = 5
	// renewalsPerLease is the minimum number of renewal intervals in a lease, so that a
	// lease survives two lost renewals.
	renewalsPerLease = 3
)

// validate returns the errors in the settings. If complete is set, the values that a process
// in service needs must be present.
func (p *Process) validate(complete bool) []*Error {
	errs := p.checkFields("validate")
	if len(errs) == 0 {
		errs = p.checkCombinations()
	}
	if complete {
		errs = append(errs, p.checkFields("require")...)
	}
	return errs
}

// checkFields checks each field by the rules in the struct tag with the given name.
func (p *Process) checkFields(tag string) []*Error {
	var found validator.ValidationErrors
	if !errors.As(newValidator(tag).Struct(p), &found) {
		return nil
	}
	errs := make([]*Error, len(found))
	for i, f := range found {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		errs[i] = &Error{Key: key, Message: describe(f)}
	}
	return errs
}

// newValidator returns a validator that reads its rules from the given struct tag and names
// fields by their TOML keys.
func newValidator(tag string) *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.SetTagName(tag)
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	for name, ok := range map[string]func(string) bool{
		"ip_port":     isAddress,
		"ip_url":      isURL,
		"secret_file": isSecretFile,
	} {
		if err := v.RegisterValidation(name, func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) }); err != nil {
			panic(err) // not reached: the names above are valid
		}
	}
	return v
}

func isAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && isAddress(u.Host) && strings.Trim(u.Path, "/") == ""
}

func isSecretFile(path string) bool {
	data, err := os.ReadFile(path)
	return err == nil && strings.TrimSpace(string(data)) != ""
}

// describe returns the message for a field that violates a rule.
func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "ip_port":
		return fmt.Sprintf("%q is not an IP address and port", f.Value())
	case "ip_url":
		return fmt.Sprintf("%q is not a URL of the form http://IP:port", f.Value())
	case "secret_file":
		return fmt.Sprintf("file %q is empty or cannot be read", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("%v is below the minimum of %s", f.Value(), f.Param())
	case "max":
		return fmt.Sprintf("%v is above the maximum of %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("%v is not above %s", f.Value(), f.Param())
	default:
		return "does not satisfy " + f.Tag()
	}
}

// checkCombinations checks rules that involve several settings.
func (p *Process) checkCombinations() []*Error {
	t := p.Timing
	var errs []*Error
	rejectIf := func(bad bool, key, format string, args ...any) {
		if bad {
			errs = append(errs, &Error{Key: key, Message: fmt.Sprintf(format, args...)})
		}
	}
	rejectIf(p.Listen.HTTP != "" && p.Listen.HTTP == p.Listen.GRPC, "listen.grpc", "is the same address as http")
	rejectIf(t.ContactAfterSeconds >= t.ConfigConfirmSeconds, "timing.contact_after_seconds",
		"%v is not below config_confirm_seconds %v", t.ContactAfterSeconds, t.ConfigConfirmSeconds)
	rejectIf(t.ContactAfterSeconds <= t.ConfigPollSeconds, "timing.contact_after_seconds",
		"%v is not above config_poll_seconds %v, so every poll would cause contacts", t.ContactAfterSeconds, t.ConfigPollSeconds)
	rejectIf(t.ConfigConfirmSeconds < t.ConfigPollSeconds+outageMarginSeconds, "timing.config_confirm_seconds",
		"%v is below config_poll_seconds %v + %d", t.ConfigConfirmSeconds, t.ConfigPollSeconds, outageMarginSeconds)
	rejectIf(t.ConfigConfirmSeconds+t.ConfigPollSeconds > MaxConfigDelaySeconds, "timing.config_confirm_seconds",
		"%v and config_poll_seconds %v exceed %d together", t.ConfigConfirmSeconds, t.ConfigPollSeconds, MaxConfigDelaySeconds)
	rejectIf(t.LeaseSeconds < renewalsPerLease*t.LeaseRenewSeconds, "timing.lease_seconds",
		"%v is shorter than %d renewals of lease_renew_seconds %v", t.LeaseSeconds, renewalsPerLease, t.LeaseRenewSeconds)
	rejectIf(t.OrderSeconds > t.LeaseSeconds, "timing.order_seconds",
		"%v is longer than lease_seconds %v", t.OrderSeconds, t.LeaseSeconds)
	rejectIf(t.DrainDelaySeconds >= t.DrainLimitSeconds, "timing.drain_delay_seconds",
		"%v is not below drain_limit_seconds %v", t.DrainDelaySeconds, t.DrainLimitSeconds)
	return errs
}
