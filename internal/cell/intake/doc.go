// Package intake decides which clients give way when a process has too little memory
// or too few connections for all of them. Budget bounds the bytes of the messages that
// are being received or processed, Connections bounds the open connections. Both are
// deterministic: their callers serialize the calls, and close or refuse what is named.
// The package must never choose a message that is being processed, since part of it
// may be stored, and must never refuse a message that is alone and within the limits.
package intake
