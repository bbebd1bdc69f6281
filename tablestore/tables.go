package tablestore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxTableBytes bounds the body of an answer of the table service.
	maxTableBytes = 64 << 20
	// scanPageRows is the maximum number of rows in a page of a scan.
	scanPageRows = 1000
)

// TablesClient is a client of the table service over HTTP.
type TablesClient struct {
	base   string
	client *http.Client
}

// NewTablesClient returns a client of the service at the URL base.
func NewTablesClient(base string, client *http.Client) *TablesClient {
	return &TablesClient{base: base, client: client}
}

// Check returns an error for a transaction that every table service rejects: one
// that has no operation id, writes no rows or writes more than MaxTxnRows rows.
func (t Txn) Check() error {
	switch n := len(t.Put) + len(t.Delete); {
	case t.Op == "":
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "transaction has no operation id")
	case n == 0:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "transaction writes no rows")
	case n > MaxTxnRows:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest,
			"transaction writes %d rows, limit is %d", n, MaxTxnRows)
	}
	return nil
}

// Commit implements Tables.
func (c *TablesClient) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := txn.Check(); err != nil {
		return TxnResult{}, err
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return TxnResult{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode transaction")
	}
	resp, err := write(ctx, c.client, http.MethodPost, c.base+"/v1/txn", body)
	if err != nil {
		return TxnResult{}, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return TxnResult{}, statusError(resp, "commit transaction")
	}
	var result TxnResult
	err = decode(resp.Body, maxTableBytes, &result)
	if err != nil || result.Committed != (resp.StatusCode == http.StatusOK) {
		return TxnResult{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer,
			"commit transaction: answer is malformed or contradicts its status %d: %v", resp.StatusCode, err)
	}
	return result, nil
}

// Get implements Tables.
func (c *TablesClient) Get(ctx context.Context, key string) (Row, bool, error) {
	resp, err := read(ctx, c.client, c.base+"/v1/row?key="+url.QueryEscape(key))
	if err != nil {
		return Row{}, false, err
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Row{}, false, nil
	default:
		return Row{}, false, readStatusError(resp, "read row "+key)
	}
	var row Row
	if err := decode(resp.Body, maxTableBytes, &row); err != nil || row.Key != key || row.Version == 0 {
		return Row{}, false, verdict.New(verdict.NotRun, verdict.ReasonBadAnswer, "read row %s: answer is malformed or holds another row: %v", key, err)
	}
	return row, true, nil
}

// Scan implements Tables.
func (c *TablesClient) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, next, err := c.scanPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if next == "" {
			return rows, nil
		}
		if next <= after {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonBadAnswer, "scan %s: next page does not start after the current one", prefix)
		}
		after = next
	}
}

// scanPage reads the page of rows after a key. It also returns the key after
// which the next page begins, or "" for the last page.
func (c *TablesClient) scanPage(ctx context.Context, prefix, after string) ([]Row, string, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(scanPageRows)}}
	resp, err := read(ctx, c.client, c.base+"/v1/rows?"+query.Encode())
	if err != nil {
		return nil, "", err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, "", readStatusError(resp, "scan "+prefix)
	}
	var page struct {
		Rows []Row  `json:"rows"`
		Next string `json:"next"`
	}
	if err := decode(resp.Body, maxTableBytes, &page); err != nil {
		return nil, "", verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "scan %s", prefix)
	}
	return page.Rows, page.Next, nil
}
