package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"papayaspoke/core/result"
)

// Client calls the operators' interface of one of several daemons. It tries
// them in order: a change may be sent again through the next one, since its
// id makes a resend harmless.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client for the given addresses, each IP:PORT.
func NewClient(addresses []string, token string) *Client {
	transport := &http.Transport{DisableCompression: true}
	return &Client{addresses: addresses, token: token, http: &http.Client{Transport: transport}}
}

// Change sends a change. A refusal comes back as an answer, not as an error;
// the error is [result.Unreachable] if no daemon answered.
func (c *Client) Change(ctx context.Context, ch Change) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, result.New(result.Malformed, "%w", err)
	}
	return c.answer(ctx, "/v1/changes", body)
}

// Recover asks the first daemon that answers to start a new cluster.
func (c *Client) Recover(ctx context.Context) (Answer, error) {
	return c.answer(ctx, "/v1/recover", nil)
}

func (c *Client) answer(ctx context.Context, path string, body []byte) (Answer, error) {
	var a Answer
	raw, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return Answer{}, err
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return Answer{}, result.New(result.Internal, "answer: %w", err)
	}
	return a, nil
}

// List returns the table of that name.
func (c *Client) List(ctx context.Context, name string) (Table, error) {
	var t Table
	raw, err := c.Get(ctx, "/v1/lists/"+name)
	if err != nil {
		return Table{}, err
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return Table{}, result.New(result.Internal, "table: %w", err)
	}
	return t, nil
}

// Get returns the body found at path. A refusal comes back as a
// [result.Error].
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var last error
	for _, addr := range c.addresses {
		raw, err := c.once(ctx, method, "http://"+addr+path, body)
		if err == nil || result.CodeOf(err) != result.Unreachable {
			return raw, err
		}
		last = err
	}
	if last == nil {
		last = result.New(result.Unreachable, "no operator address given")
	}
	return nil, last
}

func (c *Client) once(ctx context.Context, method, url string, body []byte) ([]byte, error) {
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
		return nil, result.New(result.Internal, "status %d", resp.StatusCode)
	}
	return raw, nil
}

// resendPause separates resends of a change whose outcome is open.
const resendPause = 200 * time.Millisecond

// RetryUntilFinal sends a change again, under its one id, until it is accepted or
// refused or the context ends. Then it returns the last answer or error.
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
		case <-time.After(resendPause):
		}
	}
}
