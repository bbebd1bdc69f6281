package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// MemoryTables is an in-process fake of the table service for unit tests. It has
// the same faults as TableService, but ApplyLate applies the late writes.
type MemoryTables struct {
	Store    *TableStore
	Injector *PlatformInjector

	mu   sync.Mutex
	late []tablestore.Txn
}

// NewMemoryTables returns an empty table service without faults.
func NewMemoryTables(seed uint64) *MemoryTables {
	return &MemoryTables{Store: NewTableStore(), Injector: NewPlatformInjector(seed)}
}

// Commit implements tablestore.Tables.
func (m *MemoryTables) Commit(ctx context.Context, txn tablestore.Txn) (tablestore.TxnResult, error) {
	if err := txn.Check(); err != nil {
		return tablestore.TxnResult{}, err
	}
	d := m.Injector.decide(true)
	if err := delayOrReject(ctx, d); err != nil {
		return tablestore.TxnResult{}, err
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "answer lost")
	switch d.kind {
	case faultRequestLost:
		return tablestore.TxnResult{}, lost
	case faultLate:
		m.mu.Lock()
		m.late = append(m.late, txn)
		m.mu.Unlock()
		return tablestore.TxnResult{}, lost
	}
	result := m.Store.Apply(txn)
	if d.kind == faultAnswerLost {
		return tablestore.TxnResult{}, lost
	}
	return result, nil
}

// ApplyLate applies all late writes whose conditions still hold and returns the
// number of those that committed.
func (m *MemoryTables) ApplyLate() int {
	m.mu.Lock()
	late := m.late
	m.late = nil
	m.mu.Unlock()
	committed := 0
	for _, txn := range late {
		if m.Store.Apply(txn).Committed {
			committed++
		}
	}
	return committed
}

// Get implements tablestore.Tables.
func (m *MemoryTables) Get(ctx context.Context, key string) (tablestore.Row, bool, error) {
	if err := delayOrReject(ctx, m.Injector.decide(false)); err != nil {
		return tablestore.Row{}, false, err
	}
	row, found := m.Store.Read(key)
	return row, found, nil
}

// Scan implements tablestore.Tables.
func (m *MemoryTables) Scan(ctx context.Context, prefix string) ([]tablestore.Row, error) {
	if err := delayOrReject(ctx, m.Injector.decide(false)); err != nil {
		return nil, err
	}
	rows, _ := m.Store.Page(prefix, "", int(^uint(0)>>1))
	return rows, nil
}

// MemoryObjects is an in-process fake of the object store for unit tests.
type MemoryObjects struct {
	Store    *ObjectStore
	Injector *PlatformInjector
}

// NewMemoryObjects returns an empty object store without faults.
func NewMemoryObjects(seed uint64) *MemoryObjects {
	return &MemoryObjects{Store: NewObjectStore(), Injector: NewPlatformInjector(seed)}
}

// Put implements tablestore.Objects.
func (m *MemoryObjects) Put(ctx context.Context, key string, data []byte) error {
	return m.write(ctx, func() error {
		if !m.Store.Write(key, data) {
			return verdict.New(verdict.NotRun, verdict.ReasonConflict, "object %s exists with other bytes", key)
		}
		return nil
	})
}

// Get implements tablestore.Objects.
func (m *MemoryObjects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := delayOrReject(ctx, m.Injector.decide(false)); err != nil {
		return nil, false, err
	}
	data, found := m.Store.Read(key)
	return data, found, nil
}

// Delete implements tablestore.Objects.
func (m *MemoryObjects) Delete(ctx context.Context, key string) error {
	return m.write(ctx, func() error { m.Store.Remove(key); return nil })
}

// write calls apply unless the request is lost or rejected. A late write is
// treated as a lost request: because objects are written only once, a late write
// would not test anything more.
func (m *MemoryObjects) write(ctx context.Context, apply func() error) error {
	d := m.Injector.decide(true)
	if err := delayOrReject(ctx, d); err != nil {
		return err
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "answer lost")
	switch d.kind {
	case faultRequestLost, faultLate:
		return lost
	case faultAnswerLost:
		_ = apply()
		return lost
	}
	return apply()
}

// delayOrReject applies the delay of a request and returns the error of a
// rejected one. A request whose context ends during the delay was not run.
func delayOrReject(ctx context.Context, d faultDecision) error {
	if !sleep(ctx, d.delay) {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonStoreUnavailable, "request ended before it was run")
	}
	switch d.kind {
	case faultDown:
		return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "service is down")
	case faultRejected:
		return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "rate limit exceeded")
	}
	return nil
}

// sleep waits until d has passed. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
