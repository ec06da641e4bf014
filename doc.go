// Package dandelionrack is the root of the module. The coordination parts are
// in pkg, the programs in cmd.
package dandelionrack
