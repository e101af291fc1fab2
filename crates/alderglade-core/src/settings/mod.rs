//! Settings: a tree of branches, fleet → caller class → workspace → workspace's class → model.
//!
//! A lower branch inherits from the one above unless it says otherwise. [`tree`] holds the shapes
//! that operators write, [`policy`] resolves one request's values through the branches and
//! [`check`] finds what is wrong before a tree is accepted; [`patch`] is what moves between hosts,
//! [`tokens`] knows whose a bearer token is.

pub mod check;
pub mod patch;
pub mod policy;
pub mod tokens;
pub mod tree;

pub use policy::{Policy, Resolved};
pub use tokens::Tokens;
pub use tree::Tree;
