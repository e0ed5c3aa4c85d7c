//! Tests of the platform protocol against stand-ins over real sockets.

mod ranks;
mod weights;
