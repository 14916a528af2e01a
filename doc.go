// Package shunt defines the interfaces and value types shared by the packages of tanagershunt, a service-mesh node:
// routing, admission control, retries, moves between versions, and distribution of configuration.
package shunt
