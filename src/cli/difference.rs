//! Field-by-field comparison of two versions of a resource.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value;

use crate::resources::ResourceSpec;

/// A field whose values differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field, such as `capacity.requests_per_second`.
    pub field: String,
    /// Current value; `None` if the field is new.
    pub before: Option<Value>,
    /// Declared value; `None` if the field is removed.
    pub after: Option<Value>,
}

/// Returns the fields in which two specs differ, by path.
pub fn compare_specs(before: &ResourceSpec, after: &ResourceSpec) -> Vec<FieldChange> {
    let before = flatten_spec(before);
    let after = flatten_spec(after);
    let fields = before.keys().chain(after.keys()).collect::<BTreeSet<_>>();
    let changes = fields.into_iter().map(|field| FieldChange {
        field: field.clone(),
        before: before.get(field).cloned(),
        after: after.get(field).cloned(),
    });
    changes
        .filter(|change| change.before != change.after)
        .collect()
}

/// Returns every scalar value of a spec by its path.
pub(super) fn flatten_spec(spec: &ResourceSpec) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    // Serialisation cannot fail: a spec is always exchanged as JSON.
    if let Ok(Value::Object(tagged)) = serde_json::to_value(spec) {
        for inner in tagged.into_iter().map(|(_, inner)| inner) {
            flatten("", inner, &mut fields);
        }
    }
    fields
}

fn flatten(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{name}"), member, fields);
            }
        }
        Value::Array(entries) if !entries.is_empty() => {
            for (index, entry) in entries.into_iter().enumerate() {
                flatten(&format!("{path}[{index}]"), entry, fields);
            }
        }
        scalar => {
            fields.insert(path.to_owned(), scalar);
        }
    }
}
