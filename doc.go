// Package dandelionrack is the root of the module. Libraries are in pkg,
// programs in cmd.
package dandelionrack
