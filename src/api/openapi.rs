//! OpenAPI documents of both listeners.

use dropshot::{ApiDescription, ServerContext};
use semver::Version;
use serde_json::Value;

use super::response::JSON;
use super::stream::EVENT_STREAM;
use super::{ApiError, callers, operators};

/// Version of both interfaces; its major number is the one in the paths.
const API_VERSION: Version = Version::new(1, 0, 0);

/// JSON pointer to the content of a successful response to a generation.
const GENERATE_CONTENT: &str = "/paths/~1v1~1generate/post/responses/200/content";

/// Returns the document of the callers' listener as formatted JSON.
///
/// # Errors
/// Returns an error if two endpoints conflict.
pub fn callers_document() -> Result<String, ApiError> {
    let mut json = document(&callers::description()?, "Jackdawwick for callers")?;
    // The library documents typed responses as JSON, but these events come as an event
    // stream.
    if let Some(Value::Object(content)) = json.pointer_mut(GENERATE_CONTENT) {
        let event = content.remove(JSON).unwrap_or_default();
        content.insert(EVENT_STREAM.to_owned(), event);
    }
    Ok(to_pretty_json(&json))
}

/// Returns the document of the operators' listener as formatted JSON.
///
/// # Errors
/// Returns an error if two endpoints conflict.
pub fn operators_document() -> Result<String, ApiError> {
    let json = document(&operators::description()?, "Jackdawwick for operators")?;
    Ok(to_pretty_json(&json))
}

fn document<C>(api: &ApiDescription<C>, title: &str) -> Result<Value, ApiError>
where
    C: ServerContext,
{
    Ok(api.openapi(title, API_VERSION).json()?)
}

fn to_pretty_json(json: &Value) -> String {
    format!("{json:#}\n")
}
