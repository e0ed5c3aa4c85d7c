//! Protocol spoken with upstream engines and plain services.
