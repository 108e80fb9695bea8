// Command berylroad-standin plays the outside systems in tests and demonstrations.
package main

func main() {}
