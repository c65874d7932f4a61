package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Reply is what a caller was answered.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header is as received.
	Header http.Header
	// Body is the whole body.
	Body string
}

// Do makes one call with the headers given as name, value, name, value. Each
// call uses a connection of its own.
func Do(ctx context.Context, method, url, body string, headers ...string) (Reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	r.Close = true
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(b)}, err
}

// Complete asks a daemon for text by an adapter, streamed, and returns it.
func (c *Cluster) Complete(ctx context.Context, daemon, class, adapter, prompt string) (string, error) {
	body, err := json.Marshal(map[string]any{"model": adapter, "prompt": prompt, "stream": true, "max_tokens": 8})
	if err != nil {
		return "", err
	}
	r, err := Do(ctx, http.MethodPost, "http://"+c.Caller(daemon)+"/v1/completions", string(body), "Papayaspoke-Class", class)
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	return streamedText(r.Body)
}

// streamedText joins the pieces of a streamed answer; it fails unless the
// answer is whole.
func streamedText(body string) (string, error) {
	var text strings.Builder
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var ev struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return "", fmt.Errorf("event: %w", err)
		}
		for _, ch := range ev.Choices {
			text.WriteString(ch.Text)
		}
	}
	return "", fmt.Errorf("answer is not whole: %q", body)
}

// MadeBy reports whether every piece of a stand-in engine's text was made by
// the adapter.
func MadeBy(text, adapter string) bool {
	pieces := strings.Fields(text)
	for _, p := range pieces {
		if !strings.HasPrefix(p, adapter+"/") {
			return false
		}
	}
	return len(pieces) > 0
}

// Book sends one booking through a daemon.
func (c *Cluster) Book(ctx context.Context, daemon, service, key, body string) (Reply, error) {
	url := "http://" + c.Caller(daemon) + "/v1/services/" + service + "/turns"
	return Do(ctx, http.MethodPost, url, body, "Papayaspoke-Class", "urgent", "Idempotency-Key", key)
}

// Runs returns how often a stand-in service at addr ran each key.
func Runs(ctx context.Context, addr string) (map[string]int, error) {
	r, err := Do(ctx, http.MethodGet, "http://"+addr+"/runs", "")
	if err != nil {
		return nil, err
	}
	var body struct {
		Keys map[string]int `json:"by_key"`
	}
	if err := json.Unmarshal([]byte(r.Body), &body); err != nil {
		return nil, fmt.Errorf("runs: %w", err)
	}
	return body.Keys, nil
}

// Within returns a context that ends after d.
func Within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Dump is the part of a daemon's state dump that tests look at.
type Dump struct {
	Leader   string `json:"leader"`
	Role     string `json:"role"`
	Applied  uint64 `json:"applied"`
	Visible  uint64 `json:"visible"`
	Standing bool   `json:"standing"`
	Fresh    string `json:"fresh"`
	Version  uint64 `json:"version"`
	Heap     uint64 `json:"heap"`
	Adapters int    `json:"adapters"`
	Fallback bool   `json:"fallback"`
	Lists    struct {
		Upstreams []string `json:"upstreams"`
	} `json:"lists"`
	Replicas []struct {
		Upstream  string   `json:"upstream"`
		Fence     uint64   `json:"fence"`
		Claimed   bool     `json:"claimed"`
		Residents []string `json:"residents"`
	} `json:"replicas"`
}

// Dump returns the state dump of a daemon.
func (c *Cluster) Dump(ctx context.Context, name string) (Dump, error) {
	var d Dump
	raw, err := c.Operator(name).Get(ctx, "/v1/state")
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(raw, &d)
}
