package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Limits of the table service's requests.
const (
	maxTxnBytes     = 16 << 20 // body of a transaction
	defaultPageRows = 1000     // rows of a page if the request sets no limit
	maxPageRows     = 1000     // rows of a page
)

// TableService serves a TableStore over HTTP.
type TableService struct {
	Store    *TableStore
	Injector *PlatformInjector
	Rates    PlatformRates
}

// NewTableService returns an empty service without faults.
func NewTableService(seed uint64, r PlatformRates) *TableService {
	return &TableService{Store: NewTableStore(), Injector: NewPlatformInjector(seed), Rates: r}
}

// Register adds the service's routes.
func (s *TableService) Register(e *echo.Echo) {
	g := newGate(s.Injector, s.Rates)
	e.POST("/v1/txn", func(c echo.Context) error { return s.commit(c, g) })
	e.GET("/v1/row", func(c echo.Context) error {
		return g.read(c, func() error { return s.row(c) })
	})
	e.GET("/v1/rows", func(c echo.Context) error {
		return g.read(c, func() error { return s.rows(c) })
	})
}

func (s *TableService) commit(c echo.Context, g gate) error {
	var txn tablestore.Txn
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxTxnBytes)
	if err := json.NewDecoder(body).Decode(&txn); err != nil {
		return reject(c, http.StatusBadRequest, err.Error())
	}
	if err := txn.Check(); err != nil {
		return reject(c, http.StatusBadRequest, err.Error())
	}
	return g.write(c, len(txn.Put)+len(txn.Delete), func() func() error {
		result := s.Store.Apply(txn)
		status := http.StatusOK
		if !result.Committed {
			status = http.StatusConflict
		}
		return func() error { return c.JSON(status, result) }
	})
}

func (s *TableService) row(c echo.Context) error {
	row, found := s.Store.Read(c.QueryParam("key"))
	if !found {
		return reject(c, http.StatusNotFound, "row not found")
	}
	return c.JSON(http.StatusOK, row)
}

func (s *TableService) rows(c echo.Context) error {
	limit := defaultPageRows
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return reject(c, http.StatusBadRequest, "limit must be a positive integer")
		}
		limit = min(n, maxPageRows)
	}
	rows, next := s.Store.Page(c.QueryParam("prefix"), c.QueryParam("after"), limit)
	if rows == nil {
		rows = []tablestore.Row{}
	}
	return c.JSON(http.StatusOK, map[string]any{"rows": rows, "next": next})
}
