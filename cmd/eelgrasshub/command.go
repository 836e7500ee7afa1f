package main

import "github.com/jessevdk/go-flags"

// command is a subcommand or a group of them.
type command struct {
	name        string
	short       string
	long        string
	data        any // implements flags.Commander; nil for a group
	subcommands []command
}

// add registers the command and its subcommands with parent.
func (c command) add(parent *flags.Command) {
	data := c.data
	if data == nil {
		data = &struct{}{}
	}
	cmd, err := parent.AddCommand(c.name, c.short, c.long, data)
	if err != nil {
		panic("command " + c.name + ": " + err.Error())
	}
	for _, s := range c.subcommands {
		s.add(cmd)
	}
}

// commands returns the top-level commands in the order of --help.
func commands() []command {
	return []command{
		entryCommand(),
		agentCommand(),
		gatewayCommand(),
		nodeAgentCommand(),
		configCommands(),
		jobCommands(),
		reportCommand(),
		loadCommand(),
		trialCommand(),
		platformStandinCommand(),
		targetStandinCommand(),
		versionCommand(),
	}
}
