// Package scrape fetches the metrics of model engines over HTTP.
package scrape
