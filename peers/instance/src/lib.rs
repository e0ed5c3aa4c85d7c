//! Protocol between the instances of one deployment.
