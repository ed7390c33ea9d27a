// Package peers carries calls between the nodes of a cell over grpc, and shares
// the calls to the advice service among them: the service handles one call at a
// time for each calling machine, so the owner spreads its questions over all.
//
// Messages are plain structs in JSON, so that no generator is needed.
package peers
