package standin

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/tablestore"
)

// ObjectService serves an ObjectStore over HTTP.
type ObjectService struct {
	Store    *ObjectStore
	Injector *PlatformInjector
	Rates    PlatformRates
}

// NewObjectService returns an empty service without faults.
func NewObjectService(seed uint64, r PlatformRates) *ObjectService {
	return &ObjectService{Store: NewObjectStore(), Injector: NewPlatformInjector(seed), Rates: r}
}

// Register adds the service's routes.
func (s *ObjectService) Register(e *echo.Echo) {
	g := newGate(s.Injector, s.Rates)
	e.PUT("/v1/object", func(c echo.Context) error { return s.put(c, g) })
	e.GET("/v1/object", func(c echo.Context) error {
		return g.read(c, func() error {
			data, found := s.Store.Read(c.QueryParam("key"))
			if !found {
				return reject(c, http.StatusNotFound, "object not found")
			}
			return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
		})
	})
	e.DELETE("/v1/object", func(c echo.Context) error {
		key := c.QueryParam("key")
		return g.write(c, 1, func() func() error {
			s.Store.Remove(key)
			return func() error { return c.NoContent(http.StatusNoContent) }
		})
	})
}

func (s *ObjectService) put(c echo.Context, g gate) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, tablestore.MaxObjectBytes))
	if err != nil {
		return reject(c, http.StatusRequestEntityTooLarge, err.Error())
	}
	key := c.QueryParam("key")
	return g.write(c, 1, func() func() error {
		same := s.Store.Write(key, data)
		return func() error {
			if !same {
				return c.JSON(http.StatusConflict, tablestore.Rejection{Error: "object exists with other bytes"})
			}
			return c.NoContent(http.StatusOK)
		}
	})
}
