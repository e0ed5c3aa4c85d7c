//! Scenario language for failure tests under virtual time.
