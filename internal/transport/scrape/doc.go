// Package scrape fetches the Prometheus metrics of model engines over HTTP.
package scrape
