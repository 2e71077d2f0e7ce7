// Command play runs one case of the review: it starts the project's controllers as processes,
// and is their state service, cloud, workers, load balancer and users. It runs in the
// repository's folder.
package main

import (
	"fmt"
	"os"
	"strings"
)

var cases = map[string]func(folder string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](strings.TrimSuffix(os.Args[2], "/"))
}
