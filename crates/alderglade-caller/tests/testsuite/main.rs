//! Tests of the callers' side over real sockets.

mod close;
