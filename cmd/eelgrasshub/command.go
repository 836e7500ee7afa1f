package main

import "github.com/jessevdk/go-flags"

// command is one subcommand, or a group of them.
type command struct {
	name        string
	short       string
	long        string
	data        any // implements flags.Commander, or is empty for a group
	subcommands []command
}

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

// commands lists every subcommand in the order that --help shows.
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
