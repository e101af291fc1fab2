//! Tests of the HTTP client for backend servers, over real sockets.

mod service;
