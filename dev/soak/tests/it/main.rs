//! Tests of the checks that the soak applies to a recorded history.

mod guarantee;
mod incarnation;
