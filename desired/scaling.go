package desired

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"
)

// Bounds of the fields of a valid Scaling.
const (
	MaxStartupTime = 10 * time.Minute
	maxScaled      = 10_000 // servers in a zone
	maxScaledZones = 100
	maxPrice       = 1e6
	maxZoneBytes   = 200
)

// Check returns an error if servers must not be ordered by these bounds.
func (s *Scaling) Check() error {
	switch {
	case s.Min < 0 || s.Max < 1 || s.Max > maxScaled || s.Min > s.Max:
		return fmt.Errorf("minimum %d and maximum %d of servers", s.Min, s.Max)
	case s.StartupTime < 0 || s.StartupTime > MaxStartupTime:
		return fmt.Errorf("startup time %s", s.StartupTime)
	case !validPrice(s.SpotPriceRatio):
		return fmt.Errorf("price ratio %g of spot servers", s.SpotPriceRatio)
	case len(s.ZonePrices) == 0 || len(s.ZonePrices) > maxScaledZones:
		return fmt.Errorf("%d zones", len(s.ZonePrices))
	}
	for zone, price := range s.ZonePrices {
		if zone == "" || len(zone) > maxZoneBytes || strings.ContainsFunc(zone, unicode.IsControl) || !validPrice(price) {
			return fmt.Errorf("price %g in zone %q", price, zone)
		}
	}
	return nil
}

func validPrice(p float64) bool { return p > 0 && p <= maxPrice && !math.IsNaN(p) }
