//! The edges of an entry instance: sockets, metrics and the event loop.
