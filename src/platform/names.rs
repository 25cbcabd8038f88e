//! The platform's names of headers, calls and log topics.

/// Id of one attempt of a caller; echoed by targets.
pub const ATTEMPT_ID: &str = "x-jackdawwick-attempt-id";
/// Milliseconds that the caller will still wait.
pub const DEADLINE_MS: &str = "x-jackdawwick-deadline-ms";
/// Proof that a target made the answer.
pub const SERVER_SEAL: &str = "x-jackdawwick-server-seal";
/// Name of the organisation, for targets.
pub const ORGANISATION: &str = "x-jackdawwick-tenant";
/// Id of the target that the request is meant for.
pub const TARGET_INSTANCE: &str = "x-jackdawwick-target-instance";
/// Set by a target that did not run the request.
pub const NOT_EXECUTED: &str = "x-jackdawwick-not-executed";
/// Prompt tokens and most answer tokens.
pub const TOKEN_COUNTS: &str = "x-jackdawwick-token-counts";
/// Rank of the request at an engine, 0 to 9. The name says urgency; lower is
/// more urgent.
pub const URGENCY_CLASS: &str = "x-jackdawwick-urgency-class";
/// Version of the weights that the request insists on.
pub const ASSUMED_VERSION: &str = "x-jackdawwick-assumed-version";
/// The engines and layer ranges that a request passes. The name says count.
pub const ENGINE_PATH: &str = "x-jackdawwick-hop-count";
/// The caller's estimate of the answer's tokens.
pub const LENGTH_HINT: &str = "x-jackdawwick-length-hint";
/// The engine at fault, in a refusal along a path.
pub const AT_SERVER: &str = "at-server";
/// Requests a second that the target takes from all machines together.
pub const SERVER_LIMIT: &str = "server-limit";
/// Last event that the caller of a stream has.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Path of the readiness question.
pub const READY_PATH: &str = "/jackdawwick/ready";
/// Path of an engine's report.
pub const REPORT_PATH: &str = "/jackdawwick/report";
/// Path of an order to an engine.
pub const ORDER_PATH: &str = "/jackdawwick/order";

/// Log topic of the operators' configuration.
pub const CONFIGURATION_TOPIC: &str = "keyed.op";
/// Key of the configuration in its topic.
pub const CONFIGURATION_KEY: &str = "config";
/// Log topic of the targets' heartbeats.
pub const TARGET_TOPIC: &str = "keyed.servers";
/// Log topic of poison requests; the project's own.
pub const POISON_TOPIC: &str = "keyed.poison";

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "JACKDAWWICK_SETTINGS";
