package cluster

import (
	"context"
	"fmt"
	"io"
	"time"

	"papayaspoke/io/protocol/operator"
)

// demoTimeout bounds the demo.
const demoTimeout = time.Minute

// ThreeDaemons is the smallest cluster that survives the loss of a VM.
var ThreeDaemons = []Spec{
	{Name: "piraeus", DataCentre: "piraeus", Disk: true},
	{Name: "marousi", DataCentre: "marousi", Disk: true},
	{Name: "glyfada", DataCentre: "glyfada", Disk: true},
}

// Catalogue is what the demo and the tests of processes serve.
var Catalogue = []operator.Change{
	{ID: "setup-1", Kind: "put-model", Name: "base"},
	{ID: "setup-2", Kind: "put-adapter", Name: "notes@v1", Model: "base"},
	{ID: "setup-3", Kind: "put-adapter", Name: "letters@v1", Model: "base"},
	{ID: "setup-4", Kind: "set-class", Name: "urgent", Target: 2000},
	{ID: "setup-5", Kind: "set-class", Name: "letters", Target: 30000},
	{ID: "setup-6", Kind: "set-store", Loads: 3, Transit: 8},
}

// Configure makes all changes and fails unless each is accepted.
func (c *Cluster) Configure(ctx context.Context, changes []operator.Change) error {
	for _, ch := range changes {
		a, err := c.Change(ctx, ch)
		if err != nil {
			return fmt.Errorf("change %s: %w", ch.ID, err)
		}
		if a.Code != 0 {
			return fmt.Errorf("change %s: %s", ch.ID, a.Detail)
		}
	}
	return nil
}

// Demo runs the demo with files in dir and programs in bin, and prints each
// answer to out.
func Demo(out io.Writer, dir, bin string) error {
	ctx, cancel := Within(demoTimeout)
	defer cancel()
	c, err := New(dir, bin, ThreeDaemons...)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		return err
	}
	service, err := c.startDemoUpstreams()
	if err != nil {
		return err
	}
	if err := c.Configure(ctx, Catalogue); err != nil {
		return err
	}
	fmt.Fprintf(out, "three daemons agreed on %d changes\n", len(Catalogue))
	if err := c.demoText(ctx, out); err != nil {
		return err
	}
	return c.demoBooking(ctx, out, service)
}

func (c *Cluster) startDemoUpstreams() (service string, err error) {
	for i, name := range []string{"engine-1", "engine-2"} {
		addr, err := freeAddress("127.0.0.1")
		if err != nil {
			return "", err
		}
		if _, err := c.Run(name, "engine", "--listen", addr, "--model", "base", "--dc", c.specs[i].DataCentre); err != nil {
			return "", err
		}
	}
	service, err = freeAddress("127.0.0.1")
	if err != nil {
		return "", err
	}
	_, err = c.Run("booking-1", "service", "--listen", service, "--service", "booking", "--dc", "piraeus")
	return service, err
}

func (c *Cluster) demoText(ctx context.Context, out io.Writer) error {
	const adapter = "notes@v1"
	text, err := c.untilServed(ctx, adapter)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "streamed answer by %s: %s\n", adapter, text)
	if !MadeBy(text, adapter) {
		return fmt.Errorf("the answer was not made by %s", adapter)
	}
	return nil
}

// untilServed asks until the engines are owned.
func (c *Cluster) untilServed(ctx context.Context, adapter string) (text string, err error) {
	deadline, _ := ctx.Deadline()
	werr := Wait(deadline, "a streamed answer", func() bool {
		text, err = c.Complete(ctx, "glyfada", "urgent", adapter, "turn Mrs K. at nine")
		return err == nil
	})
	if werr != nil {
		return "", fmt.Errorf("%w: %w", werr, err)
	}
	return text, nil
}

func (c *Cluster) demoBooking(ctx context.Context, out io.Writer, service string) error {
	const key, body = "visit-17", `{"visit":17}`
	var first Reply
	for i, daemon := range []string{"piraeus", "marousi"} {
		r, err := c.Book(ctx, daemon, "booking", key, body)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "booking sent through %s: %d %s\n", daemon, r.Status, r.Body)
		if i == 0 {
			first = r
		}
		if r.Status != 200 || r.Body != first.Body {
			return fmt.Errorf("the answers to one booking differ")
		}
	}
	runs, err := Runs(ctx, service)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the service ran it %d time(s)\n", runs[key])
	if runs[key] != 1 {
		return fmt.Errorf("the booking ran %d times", runs[key])
	}
	return nil
}
