//! Protocol spoken with the platform: weights store and instance life cycle.
