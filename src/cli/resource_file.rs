//! Reads a TOML file of declared resources.

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::resources::{ResourceKey, ResourceKind, ResourceSpec};

/// A resource declared in a file.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// Spec of the resource.
    pub spec: ResourceSpec,
}

/// Parses and validates a file with tables such as `[model.NAME]`. Resources are returned
/// in the order in which they must be declared.
///
/// # Errors
/// Returns all mistakes, each with its key.
pub fn parse_resources(text: &str) -> Result<Vec<DeclaredResource>, Vec<String>> {
    let table = text
        .parse::<Table>()
        .map_err(|error| vec![format!("not valid TOML: {}", error.to_string().trim_end())])?;
    let mut mistakes = unknown_kinds(&table);
    let mut resources = Vec::new();
    for kind in ResourceKind::ALL {
        match table.get(kind.name()) {
            None => (),
            Some(Value::Table(tables)) => {
                read_kind(kind, tables, &mut resources, &mut mistakes);
            }
            Some(_) => mistakes.push(format!("{0}: expected tables [{0}.NAME]", kind.name())),
        }
    }
    match (mistakes.is_empty(), resources.is_empty()) {
        (false, _) => Err(mistakes),
        (true, true) => Err(vec!["the file declares nothing".to_owned()]),
        (true, false) => Ok(resources),
    }
}

/// Returns the kind of the given name.
pub(super) fn kind_by_name(name: &str) -> Option<ResourceKind> {
    ResourceKind::ALL
        .into_iter()
        .find(|kind| kind.name() == name)
}

fn unknown_kinds(table: &Table) -> Vec<String> {
    let known = ResourceKind::ALL.map(ResourceKind::name).join(", ");
    let unknown = table.keys().filter(|name| kind_by_name(name).is_none());
    unknown
        .map(|name| format!("{name}: unknown kind, known: {known}"))
        .collect()
}

fn read_kind(
    kind: ResourceKind,
    tables: &Table,
    resources: &mut Vec<DeclaredResource>,
    mistakes: &mut Vec<String>,
) {
    for (name, value) in tables {
        let path = format!("{}.{name}", kind.name());
        let Value::Table(fields) = value else {
            mistakes.push(format!("{path}: expected a table"));
            continue;
        };
        match read_spec(kind, fields) {
            Ok(spec) => resources.push(DeclaredResource {
                key: ResourceKey::new(kind, name.as_str()),
                spec,
            }),
            Err(found) => mistakes.extend(found.iter().map(|text| format!("{path}{text}"))),
        }
    }
}

fn read_spec(kind: ResourceKind, fields: &Table) -> Result<ResourceSpec, Vec<String>> {
    let spec = match kind {
        ResourceKind::Target => read_fields(fields).map(ResourceSpec::Target),
        ResourceKind::Model => read_fields(fields).map(ResourceSpec::Model),
        ResourceKind::Pipeline => read_fields(fields).map(ResourceSpec::Pipeline),
        ResourceKind::Service => read_fields(fields).map(ResourceSpec::Service),
        ResourceKind::Organisation => read_fields(fields).map(ResourceSpec::Organisation),
    }?;
    match spec.check() {
        Ok(()) => Ok(spec),
        Err(error) => Err(vec![format!(".{error}")]),
    }
}

/// Reads a resource from its fields. The deserialiser stops at the first mistake, so
/// after a failure each field is deserialised on its own to find the mistakes of all
/// fields.
fn read_fields<S>(fields: &Table) -> Result<S, Vec<String>>
where
    S: DeserializeOwned,
{
    let spec_error = match deserialize::<S>(fields.clone()) {
        Ok(spec) => return Ok(spec),
        Err(mistake) => mistake,
    };
    let field_errors = fields.iter().filter_map(|(name, value)| {
        let field = Table::from_iter([(name.clone(), value.clone())]);
        deserialize::<S>(field).err()
    });
    // Deserialising a single field always fails: either because of the other, missing
    // fields, which is reported for the resource as a whole, or because of a mistake in
    // this field.
    let mut mistakes = field_errors
        .filter(|mistake| mistake.is_in_field)
        .map(|mistake| mistake.text)
        .collect::<Vec<_>>();
    if !spec_error.is_in_field {
        mistakes.push(spec_error.text);
    }
    Err(mistakes)
}

/// An error of the deserialiser.
struct FieldMistake {
    /// Whether the mistake is in a field that is present.
    is_in_field: bool,
    /// Path and message.
    text: String,
}

fn deserialize<S>(fields: Table) -> Result<S, FieldMistake>
where
    S: DeserializeOwned,
{
    serde_path_to_error::deserialize(fields).map_err(|error| {
        let is_in_field = error.path().iter().next().is_some();
        let message = error.inner().message();
        let text = match is_in_field {
            true => format!(".{}: {message}", error.path()),
            false => format!(": {message}"),
        };
        FieldMistake { is_in_field, text }
    })
}
