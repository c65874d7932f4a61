package terminal

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/terminal/cmdline"
)

const (
	// commandTimeout bounds one command, including retries of a pending change.
	commandTimeout = 15 * time.Second
)

// options holds the values of the flags and the positional argument.
type options struct {
	operators []string
	token     string
	json      bool
	target    string
	model     string
	loads     uint32
	transit   uint32
	expect    uint64
	id        string
	author    string
	yes       bool
	logs      []string
	arg       string
}

// session is the execution of one command.
type session struct {
	opts   *options
	client *operator.Client
	token  string
	cmd    command
	out    io.Writer
}

// flagSpec adds a flag to a subcommand.
type flagSpec func(*flaggy.Subcommand, *options)

// flagSpecs holds the flags of single commands by name.
var flagSpecs = map[string]flagSpec{
	"target": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.target, "", "target", "Target latency of answers, such as 2s or 500ms")
	},
	"model": func(sc *flaggy.Subcommand, o *options) { sc.String(&o.model, "", "model", "Base model of the adapter") },
	"loads": func(sc *flaggy.Subcommand, o *options) { sc.UInt32(&o.loads, "", "loads", "Adapter loads per second") },
	"transit": func(sc *flaggy.Subcommand, o *options) {
		sc.UInt32(&o.transit, "", "transit", "Loads in transit at full speed")
	},
	"expect": func(sc *flaggy.Subcommand, o *options) {
		sc.UInt64(&o.expect, "", "expect", "Expected current version of the object; 0 creates it")
	},
	"id": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.id, "", "id", "Change id; reuse it to retry a change")
	},
	"author": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.author, "", "author", "Who makes the change, for the history")
	},
	"log": func(sc *flaggy.Subcommand, o *options) {
		sc.StringSlice(&o.logs, "", "log", "Log of a daemon; may be repeated")
	},
	"yes": func(sc *flaggy.Subcommand, o *options) { sc.Bool(&o.yes, "", "yes", "Confirm") },
}

// Run executes a command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	opts := &options{}
	cmd, err := parse(args, opts)
	if errors.Is(err, cmdline.ErrHelp) {
		return 0
	}
	if err != nil {
		return fail(errOut, err)
	}
	var token []byte
	if !cmd.offline {
		token, err = os.ReadFile(opts.token)
	}
	if err != nil {
		return fail(errOut, result.New(result.WrongToken, "--token: %w", err))
	}
	s := &session{opts: opts, cmd: cmd, out: out}
	s.token = strings.TrimSpace(string(token))
	s.client = operator.NewClient(opts.operators, s.token)
	if err := s.run(); err != nil {
		return fail(errOut, err)
	}
	return 0
}

// fail prints err with the advice for its code and returns the exit status.
func fail(w io.Writer, err error) int {
	code := result.CodeOf(err)
	fmt.Fprintln(w, err)
	fmt.Fprintln(w, "What to do:", result.Lookup(code).Advice)
	return result.Exit(code)
}

// parse parses the command line into opts and returns the selected command.
func parse(args []string, opts *options) (command, error) {
	p := flaggy.NewParser("papayaspoke")
	p.Description = "Operators' client of papayaspoke."
	p.AdditionalHelpAppend = "\nExample: papayaspoke class list --operator 127.0.0.1:7001 --token token"
	p.ShowHelpOnUnexpected = true
	opts.token = os.Getenv("PAPAYASPOKE_TOKEN_FILE")
	p.StringSlice(&opts.operators, "o", "operator", "Operator address of a daemon, IP:PORT; may be repeated (or PAPAYASPOKE_OPERATOR)")
	p.String(&opts.token, "t", "token", "File with the operators' token (or PAPAYASPOKE_TOKEN_FILE)")
	p.Bool(&opts.json, "j", "json", "Print JSON")
	leaves := attachCommands(p, opts)
	if err := cmdline.Parse(p, args); err != nil {
		return command{}, err
	}
	if env := os.Getenv("PAPAYASPOKE_OPERATOR"); env != "" && len(opts.operators) == 0 {
		opts.operators = strings.Split(env, ",")
	}
	for sc, cmd := range leaves {
		if sc.Used {
			return cmd, nil
		}
	}
	p.ShowHelp()
	return command{}, result.New(result.Malformed, "no command given")
}

// attachCommands adds the command table to the parser and returns the command of each
// subcommand that ends a command's name.
func attachCommands(p *flaggy.Parser, opts *options) map[*flaggy.Subcommand]command {
	groups := make(map[string]*flaggy.Subcommand)
	leaves := make(map[*flaggy.Subcommand]command)
	for _, cmd := range commands {
		leaf := flaggy.NewSubcommand(cmd.group)
		if cmd.verb == "" {
			p.AttachSubcommand(leaf, 1)
		} else {
			if groups[cmd.group] == nil {
				groups[cmd.group] = flaggy.NewSubcommand(cmd.group)
				groups[cmd.group].Description = "See papayaspoke " + cmd.group + " --help"
				p.AttachSubcommand(groups[cmd.group], 1)
			}
			leaf = flaggy.NewSubcommand(cmd.verb)
			groups[cmd.group].AttachSubcommand(leaf, 1)
		}
		leaf.Description = cmd.title
		leaf.AdditionalHelpAppend = "\nExample: " + cmd.example
		if cmd.arg != "" {
			leaf.AddPositionalValue(&opts.arg, cmd.arg, 1, true, "")
		}
		for _, name := range cmd.flags {
			flagSpecs[name](leaf, opts)
		}
		leaves[leaf] = cmd
	}
	return leaves
}

func (s *session) run() error {
	switch {
	case s.cmd.handler != nil:
		return s.cmd.handler(s)
	case s.cmd.listName != "":
		return s.printList()
	default:
		return s.sendChange()
	}
}

// printList prints a list as a table or as JSON.
func (s *session) printList() error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	t, err := s.client.List(ctx, s.cmd.listName)
	if err != nil {
		return err
	}
	if s.opts.json {
		return s.printJSON(t)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Columns, "\t")))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// sendChange sends the change of the command and prints its outcome.
func (s *session) sendChange() error {
	c, err := s.buildChange()
	if err != nil {
		return err
	}
	a, err := s.settle(c)
	if err != nil {
		return fmt.Errorf("change id %s: %w", c.ID, err)
	}
	if s.opts.json {
		if err := s.printJSON(a); err != nil {
			return err
		}
	} else if a.Code == 0 {
		fmt.Fprintf(s.out, "accepted: %s is now version %d (change id %s)\n", cmp.Or(c.Name, s.cmd.group), a.Version, c.ID)
	}
	if a.Code != 0 {
		return result.New(result.Code(a.Code), "%s (current version %d, change id %s)", a.Detail, a.Version, c.ID)
	}
	return nil
}

// buildChange returns the change that the command line describes. Without an id on
// the command line, it gets a random one.
func (s *session) buildChange() (operator.Change, error) {
	o := s.opts
	c := operator.Change{ID: o.id, Kind: s.cmd.changeKind, Name: o.arg, Expect: o.expect, Author: o.author, Model: o.model, Loads: o.loads, Transit: o.transit}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	if o.target == "" {
		return c, nil
	}
	d, err := time.ParseDuration(o.target)
	if err != nil || d <= 0 {
		return c, result.New(result.ChangeInvalid, "--target %q is not a time such as 2s", o.target)
	}
	c.Target = uint64(d.Milliseconds())
	return c, nil
}

// settle sends a change, and retries it with the same id until its outcome is known
// or the time is up.
func (s *session) settle(c operator.Change) (operator.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return operator.RetryUntilFinal(ctx, s.client, c)
}

// printJSON prints v as indented JSON.
func (s *session) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintln(s.out, string(b))
	return err
}

func printState(s *session) error   { return s.printResponse("/v1/state") }
func printMetrics(s *session) error { return s.printResponse("/metrics") }

// printResponse prints the unchanged response to a GET request.
func (s *session) printResponse(path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	raw, err := s.client.Get(ctx, path)
	if err != nil {
		return err
	}
	_, err = s.out.Write(raw)
	return err
}

// recoverCluster starts a forced recovery at the daemon with the most recent state.
func recoverCluster(s *session) error {
	if !s.opts.yes {
		return result.New(result.ChangeRefused, "this discards data that only the lost voters hold; confirm with --yes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	addr, err := s.mostRecentState(ctx)
	if err != nil {
		return err
	}
	a, err := operator.NewClient([]string{addr}, s.token).Recover(ctx)
	if err != nil {
		return err
	}
	if a.Code != 0 {
		return result.New(result.Code(a.Code), "%s", a.Detail)
	}
	fmt.Fprintln(s.out, "a new cluster starts from the state at index", a.Index)
	return nil
}

// mostRecentState returns the address of the daemon whose state is the most recent,
// among the given daemons that answer and have a disk.
func (s *session) mostRecentState(ctx context.Context) (string, error) {
	best, bestIndex := "", uint64(0)
	for _, addr := range s.opts.operators {
		raw, err := operator.NewClient([]string{addr}, s.token).Get(ctx, "/v1/state")
		if err != nil {
			continue
		}
		var d struct {
			Role    string `json:"role"`
			Applied uint64 `json:"applied"`
		}
		if json.Unmarshal(raw, &d) == nil && d.Role != "" && (best == "" || d.Applied > bestIndex) {
			best, bestIndex = addr, d.Applied
		}
	}
	if best == "" {
		return "", result.New(result.Unreachable, "no daemon with a disk answers at the given addresses")
	}
	return best, nil
}
