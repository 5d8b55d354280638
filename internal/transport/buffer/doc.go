// Package buffer bounds the memory that parts of responses hold before they are passed
// on, over all responses together.
package buffer
