// Command driver plays one case of the review against the project's own processes.
//
//	driver --case NAME --binary FILE --record FILE [--trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// limit bounds a case.
const limit = 110 * time.Second

// verdict is the result of a case: the broken rule's particulars, empty if it held.
type verdict []string

// cases are the cases by name; each file of a case adds its own. An error means that the case
// couldn't run.
var cases = map[string]func(rec *recorder, binary string, trouble bool) (verdict, error){}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/eelgrasshub", "the project's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *binary, *record, *trouble))
}

func play(name, binary, record string, trouble bool) int {
	c, ok := cases[name]
	out, err := os.Create(record)
	if !ok || err != nil {
		fmt.Println("can't run:", name, err)
		return 2
	}
	defer out.Close()
	rec := &recorder{out: out, begin: time.Now()}
	rec.log("case", "%s, disruption: %v", name, trouble)
	time.AfterFunc(limit, func() {
		rec.log("result", "gave up after %v", limit)
		os.Exit(2) // the kernel ends the processes
	})
	found, err := c(rec, binary, trouble)
	switch {
	case err != nil:
		rec.log("result", "couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case len(found) > 0:
		for _, line := range found[:min(len(found), 20)] {
			rec.log("broken", "%s", line)
		}
		rec.log("result", "rule broken, %d times", len(found))
		fmt.Printf("rule broken, %d times; the first: %s\n", len(found), found[0])
		return 1
	}
	rec.log("result", "rule held")
	fmt.Println("rule held")
	return 0
}
