package terminal

import "strings"

// command is one row of the command table.
type command struct {
	// group and verb are the two words of the command; verb may be empty.
	group, verb string
	// title is one sentence for the help page.
	title string
	// example is a whole command line.
	example string
	// arg names the positional argument, or is empty.
	arg string
	// flags names the flags that the command takes besides the global ones.
	flags []string
	// kind is the change that the command makes, or empty.
	kind string
	// list is the table that the command prints, or empty.
	list string
	// run replaces kind and list where the command does something else.
	run func(*session) error
	// offline is true if the command asks no daemon and needs no token.
	offline bool
}

var change = []string{"expect", "id", "author"}

func with(names ...string) []string { return append(names, change...) }

var commands = []command{
	{group: "class", verb: "list", title: "List the classes and their targets", example: "papayaspoke class list", list: "classes"},
	{group: "class", verb: "set", title: "Create a class or change its target", example: "papayaspoke class set urgent --target 2s --expect 0", arg: "name", flags: with("target"), kind: "set-class"},
	{group: "class", verb: "remove", title: "Remove a class", example: "papayaspoke class remove letters --expect 3", arg: "name", flags: change, kind: "remove-class"},
	{group: "model", verb: "list", title: "List the base models", example: "papayaspoke model list", list: "models"},
	{group: "model", verb: "put", title: "Add a base model", example: "papayaspoke model put base --expect 0", arg: "name", flags: change, kind: "put-model"},
	{group: "model", verb: "remove", title: "Remove a base model that no adapter uses", example: "papayaspoke model remove base --expect 1", arg: "name", flags: change, kind: "remove-model"},
	{group: "adapter", verb: "list", title: "List the adapters", example: "papayaspoke adapter list", list: "adapters"},
	{group: "adapter", verb: "put", title: "Add an adapter at a version", example: "papayaspoke adapter put notes@v3 --model base --expect 0", arg: "name@version", flags: with("model"), kind: "put-adapter"},
	{group: "adapter", verb: "remove", title: "Remove an adapter's version; work in flight finishes", example: "papayaspoke adapter remove notes@v2 --expect 1", arg: "name@version", flags: change, kind: "remove-adapter"},
	{group: "store", verb: "show", title: "Show the limits of the weight store", example: "papayaspoke store show", list: "store"},
	{group: "store", verb: "set", title: "State what the weight store allows", example: "papayaspoke store set --loads 3 --transit 8 --expect 0", flags: with("loads", "transit"), kind: "set-store"},
	{group: "upstream", verb: "list", title: "List the upstreams with owner and load", example: "papayaspoke upstream list", list: "upstreams"},
	{group: "daemon", verb: "list", title: "List the daemons", example: "papayaspoke daemon list", list: "daemons"},
	{group: "daemon", verb: "drain", title: "Take a daemon out of service; work in flight finishes", example: "papayaspoke daemon drain piraeus-2 --expect 0", arg: "name", flags: change, kind: "drain"},
	{group: "daemon", verb: "undrain", title: "Put a drained daemon back into service", example: "papayaspoke daemon undrain piraeus-2 --expect 1", arg: "name", flags: change, kind: "undrain"},
	{group: "voter", verb: "list", title: "List the voters, the leader and how far each has come", example: "papayaspoke voter list", list: "voters"},
	{group: "witness", verb: "list", title: "List the witnesses", example: "papayaspoke witness list", list: "witnesses"},
	{group: "witness", verb: "add", title: "Add a witness", example: "papayaspoke witness add glyfada-3 --expect 2", arg: "name", flags: change, kind: "add-witness"},
	{group: "witness", verb: "remove", title: "Remove a witness that is gone for good", example: "papayaspoke witness remove glyfada-3 --expect 3", arg: "name", flags: change, kind: "remove-witness"},
	{group: "history", title: "List the latest changes", example: "papayaspoke history", list: "history"},
	{group: "dump", title: "Print the state of the daemon at the first address", example: "papayaspoke dump", run: dump},
	{group: "metrics", title: "Print the metrics of the daemon at the first address", example: "papayaspoke metrics", run: metrics},
	{group: "trace", title: "Print what the given logs say of one request, in the order of time", example: "papayaspoke trace 9c41d07be2a35f68 --log piraeus-1.log --log marousi-2.log", arg: "id", flags: []string{"log"}, run: trace, offline: true},
	{group: "recover", title: "Start a new cluster from the newest state any daemon holds, after the loss of a majority of voters", example: "papayaspoke recover --yes", flags: []string{"yes"}, run: recoverCluster},
}

// Commands returns the words of every command, such as "class list".
func Commands() []string {
	var names []string
	for _, c := range commands {
		names = append(names, strings.TrimSpace(c.group+" "+c.verb))
	}
	return names
}
