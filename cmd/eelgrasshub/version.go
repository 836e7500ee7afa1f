package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the revision that the binary was built from.
type versionCmd struct{}

func versionCommand() command {
	return command{name: "version", short: "print the version and build", data: &versionCmd{}}
}

// Execute implements flags.Commander.
func (*versionCmd) Execute([]string) error {
	fmt.Println("eelgrasshub " + buildVersion())
	return nil
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := "unknown"
	modified := ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = " with local changes"
			}
		}
	}
	return revision + modified + " " + info.GoVersion
}
