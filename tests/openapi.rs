//! Checks that the committed OpenAPI documents match the code.

use std::path::Path;
use std::{env, fs};

use jackdawwick::api::openapi;

/// If this variable is set, the tests rewrite the documents.
const UPDATE_VARIABLE: &str = "UPDATE_OPENAPI";

fn check_document(name: &str, generated: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    if env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, generated).expect("the document can be written");
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        committed == generated,
        "docs/{name} is not what the code describes; run \
         `{UPDATE_VARIABLE}=1 cargo test --test openapi`, read the difference and commit it"
    );
}

#[test]
fn callers_document_is_current() {
    let generated = openapi::callers_document().expect("the endpoints agree");
    check_document("openapi-callers.json", &generated);
}

#[test]
fn operators_document_is_current() {
    let generated = openapi::operators_document().expect("the endpoints agree");
    check_document("openapi-operators.json", &generated);
}
