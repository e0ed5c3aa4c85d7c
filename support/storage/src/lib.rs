//! Durable files of a control replica: checksummed log and snapshots.
