//! Stand-in engines and plain services for local use and tests.
