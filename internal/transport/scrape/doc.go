// Package scrape reads the metrics of backend servers over HTTP.
package scrape
