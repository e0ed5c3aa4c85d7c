//! Integration tests of the storage.

mod crash;
mod damage;
mod folder;
mod full;
mod script;
