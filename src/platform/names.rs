//! Names of the platform's headers, paths, log topics and variables.

/// Id of an attempt of a request; echoed by targets.
pub const ATTEMPT_ID: &str = "x-jackdawwick-attempt-id";
/// Milliseconds left until the caller's deadline.
pub const DEADLINE_MS: &str = "x-jackdawwick-deadline-ms";
/// Proof that a target created the response.
pub const SERVER_SEAL: &str = "x-jackdawwick-server-seal";
/// Name of the organisation, sent to targets.
pub const ORGANISATION: &str = "x-jackdawwick-tenant";
/// Id of the target that the request is intended for.
pub const TARGET_INSTANCE: &str = "x-jackdawwick-target-instance";
/// Set by a target that did not execute the request.
pub const NOT_EXECUTED: &str = "x-jackdawwick-not-executed";
/// Number of prompt tokens and maximum number of response tokens.
pub const TOKEN_COUNTS: &str = "x-jackdawwick-token-counts";
/// Parts of the prompt in their order, each with its length.
pub const PROMPT_PREFIX: &str = "x-jackdawwick-prompt-prefix";
/// Priority of the request at an engine, 0 to 9; lower is more urgent.
pub const URGENCY_CLASS: &str = "x-jackdawwick-urgency-class";
/// Version of the weights that the request requires.
pub const ASSUMED_VERSION: &str = "x-jackdawwick-assumed-version";
/// Engines and layer ranges on the path of the request; not a count, despite the name.
pub const ENGINE_PATH: &str = "x-jackdawwick-hop-count";
/// The caller's estimate of the number of response tokens.
pub const LENGTH_HINT: &str = "x-jackdawwick-length-hint";
/// Address of the failing engine, in a refusal along a path.
pub const AT_SERVER: &str = "at-server";
/// Limit of the target on requests per second from all hosts together.
pub const SERVER_LIMIT: &str = "server-limit";
/// Set to [`LEAVING`] by a target that is leaving.
pub const SERVER_LEAVING: &str = "server-leaving";
/// Value of [`SERVER_LEAVING`].
pub const LEAVING: &str = "1";
/// Id of the last event that the caller of a stream received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Number of the log's restores from an older copy, in each of its responses.
pub const STORE_ERA: &str = "store-era";

/// Path of the readiness check.
pub const READY_PATH: &str = "/jackdawwick/ready";
/// Path of an engine's report.
pub const REPORT_PATH: &str = "/jackdawwick/report";
/// Path of orders to an engine.
pub const ORDER_PATH: &str = "/jackdawwick/order";

/// Log topic of the operators' configuration.
pub const CONFIGURATION_TOPIC: &str = "keyed.op";
/// Key of the configuration in its topic.
pub const CONFIGURATION_KEY: &str = "config";
/// Log topic of the targets' heartbeats.
pub const TARGET_TOPIC: &str = "keyed.servers";
/// Log topic of poison requests, defined by this project.
pub const POISON_TOPIC: &str = "keyed.poison";
/// Log topic of entry hosts, defined by this project.
pub const HOST_TOPIC: &str = "keyed.hosts";

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "JACKDAWWICK_SETTINGS";
