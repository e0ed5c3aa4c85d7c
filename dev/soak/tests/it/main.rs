//! Tests of the soak's own checks.

mod promise;
