//! Protocol between the instances of one deployment.
//!
//! Work travels from entries to agents over HTTP as [`work`] orders answered by
//! frames; everything else is JSON-RPC. Every port of this protocol admits only
//! holders of the deployment's [`Token`].

pub mod work;

mod token;
mod view;

pub use token::{Token, TokenError};
pub use view::View;
