//! Bearer tokens, their digests and the callers that they identify.

use jackdawwick::auth::{CredentialTable, TokenDigest, bearer_digest};

/// SHA-256 of `abc`, from the examples of the standard.
const ABC: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

#[test]
fn a_digest_matches_the_published_test_vector() {
    let digest = TokenDigest::of_token("abc");
    assert_eq!(digest.to_hex(), ABC);
    let declared = TokenDigest::from_hex(ABC).expect("64 digits");
    assert!(bool::from(declared.matches(&digest)));
    assert!(!format!("{digest:?}").contains("ba78"));
    for wrong in ["", &ABC[1..], &ABC.to_uppercase(), &ABC.replace('b', "g")] {
        assert!(TokenDigest::from_hex(wrong).is_none(), "{wrong}");
    }
}

#[test]
fn a_token_identifies_one_caller() {
    let mut table = CredentialTable::default();
    for (name, token) in [("office", "abc"), ("atlas", "abd"), ("later", "abc")] {
        table.insert(name.into(), TokenDigest::of_token(token));
    }
    let found = |header: &str| bearer_digest(header).and_then(|digest| table.lookup(&digest));
    assert_eq!(found("Bearer abd").as_deref(), Some("atlas"));
    assert_eq!(found("bearer  abc").as_deref(), Some("later"));
    for header in [
        "Bearer ab",
        "Bearer ",
        "Bearer",
        "abc",
        "Basic abc",
        "Bearer abcd",
    ] {
        assert_eq!(found(header), None, "{header}");
    }
}
