//! Declarations: the document, its text, its checks and the orders that change it.

mod action;
pub mod bounds;
mod check;
mod configuration;
mod document;
mod fault;
mod text;

pub use action::{Action, Order, Scope, advance};
pub use check::check;
pub use configuration::Configuration;
pub use document::Document;
pub use fault::Fault;
pub use text::{ReadError, locate_faults, parse_document, read_document, write_document};
