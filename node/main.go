// Command is a placeholder until its package is wired.
package main

func main() {}
