//go:build race

package raced_test

const detector = true
