package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// ClassShare is a class and its share of the requests.
type ClassShare struct {
	// Class is empty for requests without a class.
	Class ident.Class
	// Weight is proportional to the share; it is positive.
	Weight int
}

// Options are the settings of a run.
type Options struct {
	// Daemons are the addresses that are asked for further addresses; not empty.
	Daemons []string
	// Adapters is the number of adapters, positive.
	Adapters int
	// Name returns adapter i; 0 is the most popular one.
	Name func(i int) ident.Adapter
	// Skew is the Zipf exponent of the popularity of adapters, above 1.
	Skew float64
	// Seed determines the sequence of requests.
	Seed uint64
	// Requests is the number of requests to send, positive.
	Requests int
	// Workers is the maximum number of requests in flight, positive.
	Workers int
	// DueAt returns when request i of a run that began at start is due.
	DueAt func(start time.Time, i int) time.Time
	// StopAt returns when a run that began at start sends no more requests.
	StopAt func(start time.Time) time.Time
	// DeadlineAt returns the deadline of a request that was due at a time.
	DeadlineAt func(due time.Time) time.Time
	// Mix lists the classes and their shares; not empty.
	Mix []ClassShare
	// MaxTokens is the maximum number of tokens in one answer, positive.
	MaxTokens int
	// Verify checks the text of a complete answer. If it is nil, only the
	// adapter that the answer names is checked.
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
	totalWeight := 0
	for _, s := range o.Mix {
		totalWeight += s.Weight
	}
	out := make([]request, o.Requests)
	for i := range out {
		a := o.Name(int(zipf.Uint64()))
		text := fmt.Sprintf("request %d of seed %d for %s", i, o.Seed, a)
		out[i] = request{adapter: a, class: o.pickClass(rng.IntN(totalWeight)), prompt: prompt.Text(text)}
	}
	return out
}

// pickClass returns the class for n, which is below the sum of the weights.
func (o Options) pickClass(n int) ident.Class {
	for _, s := range o.Mix {
		if n -= s.Weight; n < 0 {
			return s.Class
		}
	}
	return ""
}

func (o Options) validate() error {
	checks := []struct {
		invalid bool
		message string
	}{
		{len(o.Daemons) == 0, "no daemon address is given"},
		{o.Adapters <= 0 || o.Requests <= 0 || o.Workers <= 0 || o.MaxTokens <= 0, "the numbers of adapters, requests, workers and tokens must be positive"},
		{o.Skew <= 1, "skew must be above 1"},
		{len(o.Mix) == 0, "the mix of classes is empty"},
	}
	for _, c := range checks {
		if c.invalid {
			return fmt.Errorf("load: %s", c.message)
		}
	}
	for _, s := range o.Mix {
		if s.Weight <= 0 {
			return fmt.Errorf("load: weight of class %q must be positive", s.Class)
		}
	}
	return nil
}
