//! Tests of the HTTP server for callers, over real sockets.

mod broken_off;
mod close;
