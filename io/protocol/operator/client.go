package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/io/transport/client"
)

// Client calls the operators' interface of one of several daemons. It tries
// them in order: a change may be retried at the next one, since its id makes
// the retry idempotent.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client for the daemons at the given addresses, each
// IP:PORT.
func NewClient(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, http: client.New().HTTP()}
}

// Change sends a change. A refusal is returned as an answer, not as an error;
// the error is [result.Unreachable] if no daemon answered.
func (c *Client) Change(ctx context.Context, ch Change) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, result.New(result.Malformed, "%w", err)
	}
	return c.post(ctx, "/v1/changes", body)
}

// Recover asks the first daemon that answers to start a new cluster.
func (c *Client) Recover(ctx context.Context) (Answer, error) {
	return c.post(ctx, "/v1/recover", nil)
}

func (c *Client) post(ctx context.Context, path string, body []byte) (Answer, error) {
	var a Answer
	raw, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return Answer{}, err
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return Answer{}, result.New(result.Internal, "decode answer: %w", err)
	}
	return a, nil
}

// List returns the table with the given name.
func (c *Client) List(ctx context.Context, name string) (Table, error) {
	var t Table
	raw, err := c.Get(ctx, "/v1/lists/"+name)
	if err != nil {
		return Table{}, err
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return Table{}, result.New(result.Internal, "decode table: %w", err)
	}
	return t, nil
}

// Get returns the response body for path. A refusal is returned as a
// [result.Error].
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var last error
	for _, addr := range c.addresses {
		raw, err := c.doOnce(ctx, method, "http://"+addr+path, body)
		if err == nil || result.CodeOf(err) != result.Unreachable {
			return raw, err
		}
		last = err
	}
	if last == nil {
		last = result.New(result.Unreachable, "no operator address is configured")
	}
	return nil, last
}

func (c *Client) doOnce(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, result.New(result.Malformed, "%w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.New(result.Unreachable, "%w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, result.New(result.Unreachable, "%w", err)
	}
	if method == http.MethodGet && resp.StatusCode >= http.StatusBadRequest {
		var a Answer
		if json.Unmarshal(raw, &a) == nil && a.Code != 0 {
			return nil, result.New(result.Code(a.Code), "%s", a.Detail)
		}
		return nil, result.New(result.Internal, "response has status %d and no result code", resp.StatusCode)
	}
	return raw, nil
}

// retryInterval is the pause between retries of a change whose outcome is not
// final.
const retryInterval = 200 * time.Millisecond

// RetryUntilFinal sends a change, and retries it with the same id, until it is accepted
// or refused or the context ends. Then it returns the last answer, or the last
// error if there was no answer.
func RetryUntilFinal(ctx context.Context, c *Client, ch Change) (Answer, error) {
	var last Answer
	answered := false
	for {
		a, err := c.Change(ctx, ch)
		code := result.Code(a.Code)
		if err == nil && code != result.Pending && code != result.NoLeader {
			return a, nil
		}
		if err == nil {
			last, answered = a, true
		}
		select {
		case <-ctx.Done():
			if answered {
				return last, nil
			}
			return a, err
		case <-time.After(retryInterval):
		}
	}
}
