// Package shunt defines the interfaces and value types shared by the packages of tanagershunt,
// a configuration distribution system for a service mesh.
package shunt
