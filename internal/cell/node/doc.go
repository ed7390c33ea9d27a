// Package node assembles one entry process of a cell. It owns the connections
// to the platform, the term of this process as owner of the cell, and the
// graceful shutdown. The process follows the topics of the store, serves
// callers, and claims the ownership of the cell when the ownership is free. The
// only decision of this package is when to claim; it must not place work itself.
package node
