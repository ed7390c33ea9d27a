// Command medlarpulley is a cluster scheduler: entry node, operator and
// caller commands and a development cluster in one binary.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stdout, "medlarpulley")
}
