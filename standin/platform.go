package standin

import "github.com/labstack/echo/v4"

// Platform holds fakes of the platform's services. A service that is nil is not
// served.
type Platform struct {
	Tables  *TableService
	Objects *ObjectService
	Hosts   *HostList
	Weights *WeightStore
}

// NewPlatform returns all four services without faults.
func NewPlatform(seed uint64, r PlatformRates) *Platform {
	return &Platform{
		Tables:  NewTableService(seed, r),
		Objects: NewObjectService(seed+1, r),
		Hosts:   &HostList{Injector: NewPlatformInjector(seed + 2)},
		Weights: NewWeightStore(seed+3, DefaultWeightBytesPerSecond),
	}
}

// Echo returns an HTTP handler that serves the services and their admin
// endpoints. If token is not empty, requests to the services must carry it.
func (p *Platform) Echo(token string) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	if token != "" {
		e.Use(RequireBearer(token))
	}
	admin := PlatformAdmin{}
	if p.Tables != nil {
		p.Tables.Register(e)
		admin[RoleTables] = PlatformRole{p.Tables.Injector, func() any { return p.Tables.Store.Ledger() }}
	}
	if p.Objects != nil {
		p.Objects.Register(e)
		admin[RoleObjects] = PlatformRole{p.Objects.Injector, func() any { return p.Objects.Store.Ledger() }}
	}
	if p.Hosts != nil {
		p.Hosts.Register(e)
		admin[RoleHosts] = PlatformRole{p.Hosts.Injector, func() any { return p.Hosts.Ledger() }}
	}
	if p.Weights != nil {
		p.Weights.Register(e)
		admin[RoleWeights] = PlatformRole{p.Weights.Injector, func() any { return p.Weights.Ledger() }}
	}
	admin.Register(e)
	return e
}
