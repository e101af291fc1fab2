//! What tells one request from another, whoever sends it and however often.

use alderglade_core::fleet::fingerprint::{Content, Fingerprint};

const ASKED: Content<'static> = Content {
    workspace: Some("clinic"),
    method: "POST",
    host: "one.example",
    target: "/stream/x?a=1",
    body: b"a prompt",
};

#[test]
fn the_same_is_asked_whenever_caller_path_and_body_are_the_same() {
    assert_eq!(ASKED.fingerprint(), ASKED.fingerprint());
}

#[test]
fn anything_else_is_another_request() {
    let others = [
        Content {
            workspace: Some("harbour"),
            ..ASKED
        },
        Content {
            workspace: None,
            ..ASKED
        },
        Content {
            method: "PUT",
            ..ASKED
        },
        Content {
            host: "two.example",
            ..ASKED
        },
        Content {
            target: "/stream/x?a=2",
            ..ASKED
        },
        Content {
            body: b"another prompt",
            ..ASKED
        },
        // The end of one part is not the beginning of the next.
        Content {
            target: "/stream/x?a=1a",
            body: b" prompt",
            ..ASKED
        },
    ];
    for other in others {
        assert_ne!(other.fingerprint(), ASKED.fingerprint(), "{other:?}");
    }
}

/// Whatever a caller sends, a part of the digest is its own: it can't have another caller's request suspected.
#[test]
fn callers_of_other_workspaces_share_no_digest() {
    let caller = |asked: Fingerprint| asked.to_string()[..8].to_string();
    let other = Content {
        workspace: Some("harbour"),
        ..ASKED
    };
    assert_ne!(caller(ASKED.fingerprint()), caller(other.fingerprint()));
    let body = Content {
        body: b"something else",
        ..ASKED
    };
    assert_eq!(caller(ASKED.fingerprint()), caller(body.fingerprint()));
}
