// Command driver2 runs one case of the second review: it starts gateways and node agents of the
// project as separate processes against stand-ins of the operators' platform, acts as its clients
// and operators, and judges what they saw.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseTimeout bounds a case.
const caseTimeout = 112 * time.Second

// reviewCase runs a case. trouble is false if the disruption is left out.
type reviewCase func(f *fleet, trouble bool) verdict

// verdict is the result of a case.
type verdict struct {
	broken bool
	detail string
}

func held(format string, args ...any) verdict { return verdict{false, fmt.Sprintf(format, args...)} }

func broken(format string, args ...any) verdict { return verdict{true, fmt.Sprintf(format, args...)} }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %v", name, trouble)
	f, err := newFleet(rec, c.options)
	if err != nil {
		rec.add("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	result := make(chan verdict, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				failed <- p
			}
		}()
		result <- c.run(f, trouble)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case v := <-result:
		return report(rec, v)
	case p := <-failed:
		rec.add("not run: %v", p)
	case s := <-signals:
		rec.add("not run: %v", s)
	case <-time.After(caseTimeout):
		rec.add("not run: took too long")
	}
	return exitNotRun
}

func report(rec *record, v verdict) int {
	if v.broken {
		rec.add("RULE BROKEN: %s", v.detail)
		fmt.Println("rule broken:", v.detail)
		return exitBroken
	}
	rec.add("rule held: %s", v.detail)
	fmt.Println("rule held:", v.detail)
	return exitHeld
}
