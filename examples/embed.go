// Package examples holds complete sets of objects for example deployments.
package examples

import "embed"

// Files holds the example sets, one directory for each deployment.
//
//go:embed grantveji hawkrest design-size
var Files embed.FS
