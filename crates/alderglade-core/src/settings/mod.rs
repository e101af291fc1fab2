//! The settings: a tree of branches, fleet → caller class → workspace → workspace's class → model.
//!
//! A lower branch inherits each value from the branch above unless it sets the value itself.
//!
//! - [`tree`] defines the types of the settings files that operators write.
//! - [`policy`] resolves the values for a request through the branches.
//! - [`check`] validates a tree before it is accepted.
//! - [`patch`] computes and applies the difference between two revisions, which hosts exchange.
//! - [`tokens`] finds the workspace of a bearer token.

pub mod check;
pub mod patch;
pub mod policy;
pub mod tokens;
pub mod tree;

pub use policy::{Policy, Resolved};
pub use tokens::Tokens;
pub use tree::Tree;
