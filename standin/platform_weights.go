package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

// Defaults and limits of the weight store.
const (
	DefaultWeightBytes          = 1 << 20  // size of a version
	DefaultWeightBytesPerSecond = 64 << 20 // over all fetches
	weightChunkBytes            = 64 << 10 // size of a write, and burst of the rate limit
	maxWeightBytes              = 1 << 32  // largest size of a version
)

// WeightFetch is an entry of the weight store's ledger.
type WeightFetch struct {
	Model    string `json:"model"`
	Version  int64  `json:"version"`
	Bytes    int64  `json:"bytes"` // sent
	Complete bool   `json:"whole"` // all bytes were sent
}

// WeightStore is a fake weight store. It serves generated weights with one rate
// limit for all fetches together.
type WeightStore struct {
	Injector *PlatformInjector

	limiter *rate.Limiter
	mu      sync.Mutex
	bytes   int64 // size of a version
	ledger  []WeightFetch
}

// NewWeightStore returns a store that sends up to bytesPerSecond over all fetches.
func NewWeightStore(seed uint64, bytesPerSecond int) *WeightStore {
	return &WeightStore{
		Injector: NewPlatformInjector(seed),
		limiter:  rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes),
		bytes:    DefaultWeightBytes,
	}
}

// SetLimits sets the size of a version and the rate. A value of 0 leaves the
// current setting unchanged.
func (w *WeightStore) SetLimits(bytes int64, bytesPerSecond int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if bytes > 0 {
		w.bytes = min(bytes, maxWeightBytes)
	}
	if bytesPerSecond > 0 {
		w.limiter.SetLimit(rate.Limit(bytesPerSecond))
	}
}

// Ledger returns all fetches.
func (w *WeightStore) Ledger() []WeightFetch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WeightFetch{}, w.ledger...)
}

// Register adds the store's routes. The faults of writes, such as lose_answers,
// cut off a fetch after half of its bytes.
func (w *WeightStore) Register(e *echo.Echo) {
	g := newGate(w.Injector, PlatformRates{})
	e.GET("/v1/weights", func(c echo.Context) error {
		version, err := strconv.ParseInt(c.QueryParam("version"), 10, 64)
		if err != nil || c.QueryParam("model") == "" {
			return reject(c, http.StatusBadRequest, "model and version are required")
		}
		// The fault is decided as for a write, because lost answers are faults of
		// writes only.
		d := w.Injector.decide(true)
		return g.pass(c, d, g.reads, 1, func() error {
			return w.send(c, c.QueryParam("model"), version, d.kind != faultNone)
		})
	})
	e.POST("/admin/weights", func(c echo.Context) error {
		var body struct {
			Bytes          int64 `json:"bytes"`
			BytesPerSecond int   `json:"bytes_per_second"`
		}
		if err := c.Bind(&body); err != nil {
			return err
		}
		w.SetLimits(body.Bytes, body.BytesPerSecond)
		return c.NoContent(http.StatusNoContent)
	})
}

// send writes a version's weights, or only the first half of them if cut is set.
func (w *WeightStore) send(c echo.Context, model string, version int64, cut bool) error {
	w.mu.Lock()
	size := w.bytes
	w.mu.Unlock()
	c.Response().Header().Set(echo.HeaderContentLength, strconv.FormatInt(size, 10))
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEOctetStream)
	c.Response().WriteHeader(http.StatusOK)
	end := size
	if cut {
		end = size / 2
	}
	sent, err := w.stream(c.Request().Context(), c.Response(), model, version, end)
	w.mu.Lock()
	w.ledger = append(w.ledger, WeightFetch{Model: model, Version: version, Bytes: sent, Complete: sent == size})
	w.mu.Unlock()
	if cut {
		c.Response().Flush()
		return closeConnection(c)
	}
	return err
}

// stream writes the first end bytes of a version's weights and returns the number
// of bytes written. The content depends only on the model and the version.
func (w *WeightStore) stream(ctx context.Context, out http.ResponseWriter, model string, version, end int64) (int64, error) {
	var seed [32]byte
	copy(seed[:], strconv.FormatUint(xxhash.Sum64String(model+"/"+strconv.FormatInt(version, 10)), 16))
	content := rand.NewChaCha8(seed)
	chunk := make([]byte, weightChunkBytes)
	var sent int64
	for sent < end {
		part := chunk[:min(weightChunkBytes, end-sent)]
		if err := w.limiter.WaitN(ctx, len(part)); err != nil {
			return sent, err
		}
		_, _ = content.Read(part)
		n, err := out.Write(part)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
