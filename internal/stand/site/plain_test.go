//go:build !race

package site_test

const raceDetector = false
