package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// recorder is a system that records the number of ticks and the events. It answers each
// event with a command.
type recorder struct {
	mu    sync.Mutex
	ticks int
	seen  []string
}

func (r *recorder) run(_ time.Duration, _ *table.Tables, in []event.Event, out *command.Outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticks++
	for _, e := range in {
		r.seen = append(r.seen, e.Name())
		out.Add(command.SetReady{Ready: true})
	}
}

func (r *recorder) counts() (ticks, seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ticks, len(r.seen)
}

// sink is an Executor that sends commands to a channel.
type sink chan command.Command

func (s sink) Execute(c command.Command) { s <- c }

func startLoop(t *testing.T, r *recorder, inbox *control.Inbox, out control.Executor) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	start := time.Now()
	loop := control.NewLoop(control.Options{
		Tables:   table.New(table.Self{}),
		Systems:  []system.Named{{Name: "recorder", Run: r.run}},
		Inbox:    inbox,
		Executor: out,
		Clock:    func() time.Duration { return time.Since(start) },
	})
	done := make(chan error, 1)
	go func() { done <- loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// TestLoopWakesForEventsAndSleepsOtherwise guards against an event that waits for the next
// periodic tick, and against a loop that spins while there are no events.
func TestLoopWakesForEventsAndSleepsOtherwise(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := &recorder{}
	out := make(sink, 16)
	inbox := control.NewInbox(4)
	t.Run("loop", func(t *testing.T) {
		startLoop(t, r, inbox, out)
		time.Sleep(10 * control.MaxTickInterval)
		ticks, _ := r.counts()
		require.LessOrEqual(t, ticks, 15)
		require.True(t, inbox.Post(event.DrainRequested{}))
		select {
		case c := <-out:
			require.Equal(t, command.SetReady{Ready: true}, c)
		case <-time.After(time.Second):
			t.Fatal("no command within 1 s of the event")
		}
	})
}

// TestPostNeverBlocks guards against a full inbox that blocks the sender of a report.
func TestPostNeverBlocks(t *testing.T) {
	inbox := control.NewInbox(1)
	require.True(t, inbox.Post(event.DrainRequested{}))
	require.False(t, inbox.Post(event.DrainRequested{}))
	require.Equal(t, uint64(1), inbox.Dropped())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, inbox.Deliver(ctx, event.DrainRequested{}), context.DeadlineExceeded)
}

// TestWaiters guards against an answer that does not reach the waiting call, and against
// an answer that blocks the control goroutine because its call has already ended.
func TestWaiters(t *testing.T) {
	defer goleak.VerifyNone(t)
	waiters, inbox := control.NewWaiters(), control.NewInbox(8)
	answers := make(chan command.Command, 1)
	go func() {
		c, _ := waiters.Call(context.Background(), inbox, "1", event.PullRequested{RequestID: "1"})
		answers <- c
	}()
	require.Eventually(t, func() bool {
		waiters.Answer("1", command.AnswerPull{RequestID: "1"})
		select {
		case c := <-answers:
			return c == command.Command(command.AnswerPull{RequestID: "1"})
		default:
			return false
		}
	}, 5*time.Second, time.Millisecond)

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := waiters.Call(ctx, inbox, "2", event.PullRequested{RequestID: "2"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	waiters.Answer("2", command.AnswerPull{RequestID: "2"})
}
