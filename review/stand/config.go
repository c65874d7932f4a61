//go:build review

package stand

import "fmt"

// Host is the host of all routes.
const Host = "desk.example"

// Route returns a route of a config.
func Route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, more string) string {
	return fmt.Sprintf(Name("route"),
		name, Host, prefix, kind, timeoutMs, targetMs, service, attempts, more)
}

// Config returns a config of routes and services, each a list in JSON.
func Config(version int, routes, services string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, routes, services)
}

// PlainService returns a service without models.
func PlainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false}`, name)
}
