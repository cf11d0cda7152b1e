// Package examples embeds the folders of the example deployments.
package examples

import "embed"

// Files holds one folder of operators' files for each deployment.
//
//go:embed tavares pondslots
var Files embed.FS

// Deployments returns the names of the folders in Files.
func Deployments() []string {
	return []string{"tavares", "pondslots"}
}
