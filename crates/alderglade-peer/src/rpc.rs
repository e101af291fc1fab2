//! Definition of the remote call between entry hosts.

// The library's macro generates items that have no doc comments.
#![allow(missing_docs)]

use alderglade_core::Name;
use alderglade_core::message::Message;

#[tarpc::service]
pub trait Host {
    async fn deliver(from: Name, messages: Vec<Message>);
}
