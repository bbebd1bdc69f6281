package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// StoreServer carries out calls of the store for hosts that the store does not serve.
type StoreServer struct {
	peerpb.UnimplementedStoreServer
	Store store.Client
}

// Commit implements peerpb.StoreServer.
func (s *StoreServer) Commit(ctx context.Context, r *peerpb.StoreCommitRequest) (*peerpb.StoreCommitResponse, error) {
	c := store.Commit{Put: fromStoreRows(r.Put)}
	for _, e := range fromStoreRows(r.Expect) {
		c.Conditions = append(c.Conditions, store.Condition{Key: e.Key, Version: e.Version})
	}
	for _, d := range fromStoreRows(r.Delete) {
		c.Delete = append(c.Delete, d.Key)
	}
	version, err := s.Store.Commit(ctx, c)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return &peerpb.StoreCommitResponse{Conflict: true, Current: toStoreRows(conflict.Current)}, nil
	}
	if err != nil {
		return nil, storeStatus(err)
	}
	return &peerpb.StoreCommitResponse{Version: version}, nil
}

// Read implements peerpb.StoreServer.
func (s *StoreServer) Read(ctx context.Context, r *peerpb.StoreReadRequest) (*peerpb.StoreRange, error) {
	return storeRange(s.Store.Read(ctx, r.Table, r.Part, r.From, int(r.Limit)))
}

// Changes implements peerpb.StoreServer.
func (s *StoreServer) Changes(ctx context.Context, r *peerpb.StoreChangesRequest) (*peerpb.StoreRange, error) {
	return storeRange(s.Store.Changes(ctx, r.Table, r.After, time.Duration(r.WaitMs)*time.Millisecond))
}

func storeRange(r store.Range, err error) (*peerpb.StoreRange, error) {
	if errors.Is(err, store.ErrHistoryGone) {
		return &peerpb.StoreRange{HistoryGone: true}, nil
	}
	if err != nil {
		return nil, storeStatus(err)
	}
	return &peerpb.StoreRange{Rows: toStoreRows(r.Rows), Version: r.Version}, nil
}

func storeStatus(err error) error {
	code := codes.Unknown
	if verdict.Of(err) == verdict.NotRun {
		code = codes.Aborted
	}
	return status.Error(code, verdict.Message(err))
}

// StoreClient calls the store through another host. Objects are not relayed.
type StoreClient struct {
	Dialer  *Dialer
	Address string
}

// Commit calls the store through the host.
func (c *StoreClient) Commit(ctx context.Context, commit store.Commit) (uint64, error) {
	client, err := c.client()
	if err != nil {
		return 0, err
	}
	r := &peerpb.StoreCommitRequest{Put: toStoreRows(commit.Put)}
	for _, e := range commit.Conditions {
		r.Expect = append(r.Expect, toStoreRow(store.Row{Key: e.Key, Version: e.Version}))
	}
	for _, k := range commit.Delete {
		r.Delete = append(r.Delete, toStoreRow(store.Row{Key: k}))
	}
	response, err := client.Commit(ctx, r)
	if err != nil {
		return 0, storeError(err)
	}
	if response.Conflict {
		return 0, &store.Conflict{Current: fromStoreRows(response.Current)}
	}
	return response.Version, nil
}

// Read calls the store through the host.
func (c *StoreClient) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	client, err := c.client()
	if err != nil {
		return store.Range{}, err
	}
	r, err := client.Read(ctx, &peerpb.StoreReadRequest{Table: table, Part: part, From: from, Limit: int32(limit)})
	return fromStoreRange(r, err)
}

// Changes calls the store through the host.
func (c *StoreClient) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error) {
	client, err := c.client()
	if err != nil {
		return store.Range{}, err
	}
	r, err := client.Changes(ctx, &peerpb.StoreChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()})
	return fromStoreRange(r, err)
}

func (c *StoreClient) client() (peerpb.StoreClient, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "host %s", c.Address)
	}
	return peerpb.NewStoreClient(conn), nil
}

func fromStoreRange(r *peerpb.StoreRange, err error) (store.Range, error) {
	if err != nil {
		return store.Range{}, storeError(err)
	}
	if r.HistoryGone {
		return store.Range{}, store.ErrHistoryGone
	}
	return store.Range{Rows: fromStoreRows(r.Rows), Version: r.Version}, nil
}

// storeError turns a status into an error. Only ABORTED says that the call had no
// effect; a broken connection leaves the outcome open.
func storeError(err error) error {
	v := verdict.MayHaveRun
	if status.Code(err) == codes.Aborted {
		v = verdict.NotRun
	}
	return verdict.Wrap(err, v, verdict.ReasonStoreUnavailable, "store through another host")
}

func toStoreRow(r store.Row) *peerpb.StoreRow {
	return &peerpb.StoreRow{
		Table: r.Table, Part: r.Part, Name: r.Name, Value: r.Value, Version: r.Version, Deleted: r.Deleted,
	}
}

func toStoreRows(rows []store.Row) []*peerpb.StoreRow {
	out := make([]*peerpb.StoreRow, len(rows))
	for i, r := range rows {
		out[i] = toStoreRow(r)
	}
	return out
}

func fromStoreRows(rows []*peerpb.StoreRow) []store.Row {
	out := make([]store.Row, len(rows))
	for i, r := range rows {
		out[i] = store.Row{
			Key:   store.Key{Table: r.Table, Part: r.Part, Name: r.Name},
			Value: r.Value, Version: r.Version, Deleted: r.Deleted,
		}
	}
	return out
}
