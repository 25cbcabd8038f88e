//! Poison requests: which attempts are the same request, and what hosts conclude
//! from the engines that ended under them.

use jackdawwick::poison::{RequestIdentity, request_key};

const DRAFT: RequestIdentity<'_> = RequestIdentity {
    method: "POST",
    host: "drafts.example",
    path: "/draft/1?a=b",
    organisation: Some("acme"),
    body: b"select",
};

#[test]
fn attempts_with_the_same_caller_path_and_body_share_a_key() {
    assert_eq!(request_key(DRAFT), request_key(DRAFT));
}

#[test]
fn requests_that_differ_in_anything_have_other_keys() {
    let others = [
        RequestIdentity {
            method: "GET",
            ..DRAFT
        },
        RequestIdentity {
            host: "other.example",
            ..DRAFT
        },
        RequestIdentity {
            path: "/draft/1?a=c",
            ..DRAFT
        },
        RequestIdentity {
            organisation: Some("other"),
            ..DRAFT
        },
        RequestIdentity {
            organisation: None,
            ..DRAFT
        },
        RequestIdentity {
            body: b"selec",
            ..DRAFT
        },
        // The end of one part is not the beginning of the next one.
        RequestIdentity {
            organisation: Some("acmes"),
            body: b"elect",
            ..DRAFT
        },
    ];
    for other in others {
        assert_ne!(request_key(other), request_key(DRAFT), "{other:?}");
    }
}
