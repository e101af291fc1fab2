//! Fingerprints distinguish requests and are equal across retries.

use alderglade_core::fleet::fingerprint::{Content, Fingerprint};

const REQUEST: Content<'static> = Content {
    workspace: Some("clinic"),
    method: "POST",
    host: "one.example",
    target: "/stream/x?a=1",
    body: b"a prompt",
};

#[test]
fn equal_caller_path_and_body_have_the_same_fingerprint() {
    assert_eq!(REQUEST.fingerprint(), REQUEST.fingerprint());
}

#[test]
fn any_other_difference_changes_the_fingerprint() {
    let others = [
        Content {
            workspace: Some("harbour"),
            ..REQUEST
        },
        Content {
            workspace: None,
            ..REQUEST
        },
        Content {
            method: "PUT",
            ..REQUEST
        },
        Content {
            host: "two.example",
            ..REQUEST
        },
        Content {
            target: "/stream/x?a=2",
            ..REQUEST
        },
        Content {
            body: b"another prompt",
            ..REQUEST
        },
        // Bytes moved from one part to the next.
        Content {
            target: "/stream/x?a=1a",
            body: b" prompt",
            ..REQUEST
        },
    ];
    for other in others {
        assert_ne!(other.fingerprint(), REQUEST.fingerprint(), "{other:?}");
    }
}

/// Part of the digest depends on the caller's workspace alone, so a caller can't cast suspicion on another caller's
/// request.
#[test]
fn callers_of_different_workspaces_share_no_fingerprint() {
    let caller_part = |fingerprint: Fingerprint| fingerprint.to_string()[..8].to_string();
    let other = Content {
        workspace: Some("harbour"),
        ..REQUEST
    };
    assert_ne!(
        caller_part(REQUEST.fingerprint()),
        caller_part(other.fingerprint())
    );
    let body = Content {
        body: b"something else",
        ..REQUEST
    };
    assert_eq!(
        caller_part(REQUEST.fingerprint()),
        caller_part(body.fingerprint())
    );
}
