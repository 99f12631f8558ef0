// Command damaskreach runs one node.
package main

func main() {}
