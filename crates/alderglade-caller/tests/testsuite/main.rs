//! Tests of the HTTP server for callers, over real sockets.

mod close;
