//! Replicated declarations, operator orders and currency leases.
