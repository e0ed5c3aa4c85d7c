//! Integration tests of the platform protocol against simulated ranks and stores over TCP.

mod ranks;
mod weights;
