package upstream

import (
	"encoding/json"
	"net/netip"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/core/result"
)

type announceBody struct {
	Name            string   `json:"name"`
	Incarnation     uint64   `json:"incarnation"`
	Kind            string   `json:"kind"`
	Model           string   `json:"model,omitempty"`
	Service         string   `json:"service,omitempty"`
	Address         string   `json:"address"`
	DataCentre      string   `json:"data_centre"`
	Slots           int      `json:"slots,omitempty"`
	MaxBatch        int      `json:"max_batch"`
	HonoursFence    bool     `json:"honours_fence"`
	Resumes         bool     `json:"resumes"`
	IdempotentPaths []string `json:"idempotent_paths,omitempty"`
}

type residentBody struct {
	Adapter  string `json:"adapter"`
	InFlight int    `json:"in_flight"`
}

type reportBody struct {
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Made        int64          `json:"made_ms"`
	Fence       uint64         `json:"fence,omitempty"`
	Running     int            `json:"running"`
	Waiting     int            `json:"waiting"`
	Residents   []residentBody `json:"residents"`
	Loading     []string       `json:"loading,omitempty"`
	Prefixes    []uint64       `json:"prefixes,omitempty"`
	Gap         bool           `json:"gap,omitempty"`
}

type leaveBody struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

type welcomeBody struct {
	Known   bool     `json:"known"`
	Daemons []string `json:"daemons"`
	Owner   string   `json:"owner,omitempty"`
}

type orderBody struct {
	ID          string `json:"order"`
	Fence       uint64 `json:"fence"`
	Incarnation uint64 `json:"incarnation"`
	Adapter     string `json:"adapter,omitempty"`
	Evict       string `json:"evict,omitempty"`
	Role        string `json:"role,omitempty"`
}

type ackBody struct {
	ID          string `json:"order"`
	Incarnation uint64 `json:"incarnation"`
	Clock       int64  `json:"clock_ms"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type generateBody struct {
	Request     string        `json:"request"`
	Model       string        `json:"model"`
	Adapter     string        `json:"adapter,omitempty"`
	Prompt      string        `json:"prompt,omitempty"`
	Messages    []messageBody `json:"messages,omitempty"`
	MaxTokens   int           `json:"max_tokens"`
	Priority    int           `json:"priority"`
	Fence       uint64        `json:"fence"`
	Incarnation uint64        `json:"incarnation"`
	Deadline    int64         `json:"deadline_ms,omitempty"`
}

type resumeBody struct {
	Request     string `json:"request"`
	Adapter     string `json:"adapter,omitempty"`
	Fence       uint64 `json:"fence"`
	Incarnation uint64 `json:"incarnation"`
	Offset      int    `json:"offset"`
}

type cancelBody struct {
	Request     string `json:"request"`
	Incarnation uint64 `json:"incarnation"`
}

// lineBody is one line of a streamed answer.
type lineBody struct {
	Request     string          `json:"request"`
	Adapter     string          `json:"adapter,omitempty"`
	Incarnation uint64          `json:"incarnation"`
	Offset      int             `json:"offset"`
	Text        string          `json:"text,omitempty"`
	Done        bool            `json:"done,omitempty"`
	Error       json.RawMessage `json:"error,omitempty"`
}

func (b announceBody) decode() (Announcement, error) {
	a := Announcement{
		Name: ident.Upstream(b.Name), Incarnation: ident.Incarnation(b.Incarnation), Kind: Kind(b.Kind),
		Model: ident.Model(b.Model), Service: ident.Service(b.Service), Address: b.Address,
		DataCentre: ident.DataCentre(b.DataCentre), Slots: b.Slots, MaxBatch: b.MaxBatch,
		HonoursFence: b.HonoursFence, Resumes: b.Resumes, IdempotentPaths: b.IdempotentPaths,
	}
	_, addrErr := netip.ParseAddrPort(b.Address)
	engine := a.Kind == EngineKind
	checks := []struct {
		bad  bool
		what string
	}{
		{b.Name == "" || len(b.Name) > maxName, "name is empty or too long"},
		{b.Incarnation == 0, "incarnation is zero"},
		{!engine && a.Kind != ServiceKind, "kind is neither engine nor service"},
		{engine && (b.Model == "" || b.Service != ""), "an engine names a model and no service"},
		{!engine && (b.Service == "" || b.Model != ""), "a service names a service and no model"},
		{addrErr != nil, "address is not an IP number and a port"},
		{b.DataCentre == "", "data_centre is empty"},
		{engine && b.Slots <= 0, "slots is not positive"},
		{b.MaxBatch <= 0, "max_batch is not positive"},
	}
	for _, c := range checks {
		if c.bad {
			return Announcement{}, result.New(result.Malformed, "announcement: %s", c.what)
		}
	}
	return a, nil
}

func encodeAnnouncement(a Announcement) announceBody {
	return announceBody{
		Name: string(a.Name), Incarnation: uint64(a.Incarnation), Kind: string(a.Kind),
		Model: string(a.Model), Service: string(a.Service), Address: a.Address,
		DataCentre: string(a.DataCentre), Slots: a.Slots, MaxBatch: a.MaxBatch,
		HonoursFence: a.HonoursFence, Resumes: a.Resumes, IdempotentPaths: a.IdempotentPaths,
	}
}

func (b reportBody) decode() (Report, error) {
	if b.Name == "" || b.Incarnation == 0 {
		return Report{}, result.New(result.Malformed, "report: name or incarnation is missing")
	}
	if b.Running < 0 || b.Waiting < 0 {
		return Report{}, result.New(result.Malformed, "report: a count is negative")
	}
	r := Report{
		Name: ident.Upstream(b.Name), Incarnation: ident.Incarnation(b.Incarnation), MadeAt: time.UnixMilli(b.Made),
		Fence: ident.Fence(b.Fence), Running: b.Running, Waiting: b.Waiting, Prefixes: b.Prefixes, Gap: b.Gap,
	}
	for _, x := range b.Residents {
		a, err := ident.ParseAdapter(x.Adapter)
		if err != nil || x.InFlight < 0 {
			return Report{}, result.New(result.Malformed, "report: resident %q with %d in flight", x.Adapter, x.InFlight)
		}
		r.Residents = append(r.Residents, Resident{Adapter: a, InFlight: x.InFlight})
	}
	for _, x := range b.Loading {
		a, err := ident.ParseAdapter(x)
		if err != nil {
			return Report{}, result.New(result.Malformed, "report: %w", err)
		}
		r.Loading = append(r.Loading, a)
	}
	return r, nil
}

func encodeReport(r Report) reportBody {
	b := reportBody{
		Name: string(r.Name), Incarnation: uint64(r.Incarnation), Made: r.MadeAt.UnixMilli(), Fence: uint64(r.Fence),
		Running: r.Running, Waiting: r.Waiting, Prefixes: r.Prefixes, Gap: r.Gap, Residents: []residentBody{},
	}
	for _, x := range r.Residents {
		b.Residents = append(b.Residents, residentBody{Adapter: x.Adapter.String(), InFlight: x.InFlight})
	}
	for _, x := range r.Loading {
		b.Loading = append(b.Loading, x.String())
	}
	return b
}

// encodeAdapter returns the empty string for the zero adapter.
func encodeAdapter(a ident.Adapter) string {
	if a.IsZero() {
		return ""
	}
	return a.String()
}

// decodeAdapter is the reverse of encodeAdapter.
func decodeAdapter(s string) (ident.Adapter, error) {
	if s == "" {
		return ident.Adapter{}, nil
	}
	a, err := ident.ParseAdapter(s)
	if err != nil {
		return a, result.New(result.Malformed, "%w", err)
	}
	return a, nil
}

func encodeOrder(o Order) orderBody {
	return orderBody{ID: o.ID, Fence: uint64(o.Fence), Incarnation: uint64(o.Incarnation)}
}

func (b orderBody) order() Order {
	return Order{ID: b.ID, Fence: ident.Fence(b.Fence), Incarnation: ident.Incarnation(b.Incarnation)}
}

func encodeGenerate(g GenerateRequest, now time.Time) generateBody {
	b := generateBody{
		Request: string(g.Request), Model: string(g.Model), Adapter: encodeAdapter(g.Adapter), MaxTokens: g.MaxTokens,
		Priority: g.Priority, Fence: uint64(g.Fence), Incarnation: uint64(g.Incarnation),
	}
	if !g.Deadline.IsZero() {
		b.Deadline = max(1, g.Deadline.Sub(now).Milliseconds())
	}
	if !g.Prompt.IsChat() {
		b.Prompt = g.Prompt.Text()
		return b
	}
	for _, m := range g.Prompt.Messages() {
		b.Messages = append(b.Messages, messageBody{Role: m.Role, Content: m.Content})
	}
	return b
}

func (b generateBody) decode(now time.Time) (GenerateRequest, error) {
	a, err := decodeAdapter(b.Adapter)
	if err != nil {
		return GenerateRequest{}, err
	}
	if b.Request == "" || b.MaxTokens <= 0 || (b.Prompt == "") == (len(b.Messages) == 0) {
		return GenerateRequest{}, result.New(result.Malformed, "request, max_tokens and one of prompt and messages are required")
	}
	g := GenerateRequest{
		Request: ident.Request(b.Request), Model: ident.Model(b.Model), Adapter: a, Prompt: prompt.Text(b.Prompt),
		MaxTokens: b.MaxTokens, Priority: b.Priority, Fence: ident.Fence(b.Fence),
		Incarnation: ident.Incarnation(b.Incarnation),
	}
	if b.Deadline > 0 {
		g.Deadline = now.Add(time.Duration(b.Deadline) * time.Millisecond)
	}
	var messages []prompt.Message
	for _, m := range b.Messages {
		messages = append(messages, prompt.Message{Role: m.Role, Content: m.Content})
	}
	if len(messages) > 0 {
		g.Prompt = prompt.Chat(messages)
	}
	return g, nil
}
