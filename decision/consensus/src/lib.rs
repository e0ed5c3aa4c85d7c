//! Replicated log: election, replication, snapshots and membership as a pure state machine.
