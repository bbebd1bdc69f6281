// Package memory bounds the bytes that all requests of a process hold in memory together.
// Limits on single requests and answers do not bound their sum.
package memory

import (
	"sync"
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// freeBytes is the size up to which an account needs no reservation. Most requests and
	// answers are smaller.
	freeBytes = 64 << 10
	// holderDivisor is the fraction of a budget that one holder, such as a backend server,
	// may use. One faulty holder then leaves room for the others.
	holderDivisor = 4
	// freeDivisor is the fraction of a budget up to which accounts together need no
	// reservation. Without it, a thousand callers that send small bodies slowly hold more
	// than a third of the memory of a small host.
	freeDivisor = 4
)

// Budget is a number of bytes that accounts share. A nil Budget is unlimited.
type Budget struct {
	total int64
	held  atomic.Int64
	free  atomic.Int64 // bytes that accounts hold without a reservation
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Holder counts the bytes that are reserved on behalf of one party, such as a backend
// server. The zero value is ready for use.
type Holder struct{ held atomic.Int64 }

// Scope holds the accounts of one request and closes them when the request has ended, also
// those of attempts that ended unnoticed. A nil Scope is unlimited.
type Scope struct {
	budget *Budget

	mu       sync.Mutex
	accounts []*Account
	closed   bool
}

// Scope returns a new scope, which must be closed.
func (b *Budget) Scope() *Scope {
	if b == nil {
		return nil
	}
	return &Scope{budget: b}
}

// Open returns a new account. holder is the party on whose behalf it holds bytes, or nil.
func (s *Scope) Open(holder *Holder) *Account {
	if s == nil {
		return nil
	}
	a := &Account{budget: s.budget, holder: holder}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.closed = s.closed
	s.accounts = append(s.accounts, a)
	return a
}

// Close closes all accounts. Accounts that are opened later are closed.
func (s *Scope) Close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, a := range s.accounts {
		a.Close()
	}
	s.accounts = nil
}

// Account is a number of bytes that one request, answer or stream holds. A nil Account is
// unlimited.
type Account struct {
	budget *Budget
	holder *Holder

	mu       sync.Mutex
	reserved int64
	free     int64 // bytes without a reservation
	closed   bool
}

// Resize sets the size of the account to n bytes. If it fails, the size stays as it was. The
// error has the verdict not run and the reason memory if the budget is used up,
// answer_too_large if the share of the holder is, and canceled if the account is closed. The
// caller changes the verdict if work has been done.
func (a *Account) Resize(n int64) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return verdict.New(verdict.NotRun, verdict.ReasonCanceled, "the request has ended")
	}
	before := a.free
	a.takeFree(min(n, freeBytes))
	if err := a.reserve(n - a.free); err != nil {
		a.budget.free.Add(before - a.free)
		a.free = before
		return err
	}
	return nil
}

// takeFree sets the number of bytes without a reservation to n, or to 0 if all accounts
// together would exceed their share.
func (a *Account) takeFree(n int64) {
	if held := a.budget.free.Add(n - a.free); n > a.free && held > max(freeBytes, a.budget.total/freeDivisor) {
		a.budget.free.Add(-n)
		n = 0
	}
	a.free = n
}

// reserve sets the number of reserved bytes.
func (a *Account) reserve(n int64) error {
	more := n - a.reserved
	if a.holder != nil {
		if held := a.holder.held.Add(more); more > 0 && held > a.budget.total/holderDivisor {
			a.holder.held.Add(-more)
			return verdict.New(verdict.NotRun, verdict.ReasonAnswerTooLarge, "%d bytes more exceed the share of one holder, %d bytes", more, a.budget.total/holderDivisor)
		}
	}
	if held := a.budget.held.Add(more); more > 0 && held > a.budget.total {
		a.budget.held.Add(-more)
		if a.holder != nil {
			a.holder.held.Add(-more)
		}
		return verdict.New(verdict.NotRun, verdict.ReasonMemory, "%d bytes more exceed the memory of all requests, %d bytes", more, a.budget.total)
	}
	a.reserved = n
	return nil
}

// Close returns the bytes of the account. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		_ = a.reserve(0) // a decrease cannot fail
		a.takeFree(0)
	}
	a.closed = true
}
