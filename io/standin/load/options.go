package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// Share is one class in the mix.
type Share struct {
	// Class is empty for requests without a class.
	Class ident.Class
	// Weight is positive.
	Weight int
}

// Options are the settings of a run.
type Options struct {
	// Daemons are the addresses to ask first, not empty.
	Daemons []string
	// Adapters is how many there are, positive.
	Adapters int
	// Name returns the adapter with a number from 0, the most popular one.
	Name func(i int) ident.Adapter
	// Skew is the exponent of the popularity, above 1.
	Skew float64
	// Seed makes the sequence of requests repeatable.
	Seed uint64
	// Requests is how many are sent, positive.
	Requests int
	// Workers is how many may be in flight, positive.
	Workers int
	// DueAt returns when request i of a run that began at start is due.
	DueAt func(start time.Time, i int) time.Time
	// EndAt returns when a run that began at start stops sending.
	EndAt func(start time.Time) time.Time
	// GiveUpAt returns when a request that was due at a time is given up.
	GiveUpAt func(due time.Time) time.Time
	// Mix is not empty.
	Mix []Share
	// MaxTokens is positive.
	MaxTokens int
	// Verify checks a whole answer; nil checks only what names the adapter.
	Verify func(a ident.Adapter, p prompt.Prompt, text string) error
}

// request is one planned request.
type request struct {
	adapter ident.Adapter
	class   ident.Class
	prompt  prompt.Prompt
}

// plan returns the requests in the order in which they are due.
func (o Options) plan() []request {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	zipf := rand.NewZipf(rng, o.Skew, 1, uint64(o.Adapters-1))
	total := 0
	for _, s := range o.Mix {
		total += s.Weight
	}
	out := make([]request, o.Requests)
	for i := range out {
		a := o.Name(int(zipf.Uint64()))
		text := fmt.Sprintf("request %d of seed %d for %s", i, o.Seed, a)
		out[i] = request{adapter: a, class: o.pick(rng.IntN(total)), prompt: prompt.Text(text)}
	}
	return out
}

func (o Options) pick(n int) ident.Class {
	for _, s := range o.Mix {
		if n -= s.Weight; n < 0 {
			return s.Class
		}
	}
	return ""
}

func (o Options) check() error {
	checks := []struct {
		bad  bool
		what string
	}{
		{len(o.Daemons) == 0, "no daemon is named"},
		{o.Adapters <= 0 || o.Requests <= 0 || o.Workers <= 0 || o.MaxTokens <= 0, "a count is not positive"},
		{o.Skew <= 1, "skew is not above 1"},
		{len(o.Mix) == 0, "no class is in the mix"},
	}
	for _, c := range checks {
		if c.bad {
			return fmt.Errorf("load: %s", c.what)
		}
	}
	for _, s := range o.Mix {
		if s.Weight <= 0 {
			return fmt.Errorf("load: weight of class %q is not positive", s.Class)
		}
	}
	return nil
}
