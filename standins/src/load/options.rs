//! Options of a run: shape, policy, rate, length, seed and fault.

use std::path::PathBuf;
use std::time::Duration;

use clap::builder::PossibleValue;
use clap::{Arg, ArgMatches, Command, ValueEnum, value_parser};

use crate::fleet::FleetLayout;

/// Maximum length of a run, in seconds.
const MAX_SECONDS: u64 = 300;

/// Fleet and requests of a user organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadShape {
    /// The franchise office: many short responses.
    Franchise,
    /// Atlas: fewer, longer responses.
    Atlas,
}

impl ValueEnum for LoadShape {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Franchise, Self::Atlas]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

impl LoadShape {
    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Franchise => "franchise",
            Self::Atlas => "atlas",
        }
    }

    /// Returns the fleet of this shape.
    pub fn layout(self) -> FleetLayout {
        match self {
            Self::Franchise => FleetLayout::franchise(),
            Self::Atlas => FleetLayout::atlas(),
        }
    }

    /// Returns the requests of this shape.
    pub fn mix(self) -> TrafficMix {
        match self {
            Self::Franchise => TrafficMix {
                prompt_tokens: 32,
                max_tokens: 16,
                deadline: Duration::from_secs(4),
                ..TrafficMix::BASE
            },
            Self::Atlas => TrafficMix {
                prompt_tokens: 96,
                max_tokens: 48,
                deadline: Duration::from_secs(12),
                ..TrafficMix::BASE
            },
        }
    }
}

/// Properties of the offered requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficMix {
    /// Tokens of a prompt. No two prompts share a prefix, so that the bound does not
    /// depend on the prefix caches.
    pub prompt_tokens: u64,
    /// Tokens of a response.
    pub max_tokens: u64,
    /// Deadline of a request.
    pub deadline: Duration,
    /// Calls of the plain service per generation.
    pub calls_per_generation: f64,
    /// Share of these calls that is not idempotent.
    pub keyed_fraction: f64,
    /// Share of the keyed calls that is sent to two hosts at the same time.
    pub doubled_fraction: f64,
}

impl TrafficMix {
    const BASE: Self = Self {
        prompt_tokens: 1,
        max_tokens: 1,
        deadline: Duration::from_secs(1),
        calls_per_generation: 0.2,
        keyed_fraction: 0.5,
        doubled_fraction: 0.1,
    };
}

/// Fault in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadFault {
    /// Nothing.
    None,
    /// The fastest engine of the middle stage is killed.
    StageKill,
    /// The link to the fastest engine of the middle stage is slow for a time.
    SlowLink,
    /// An entry host is killed.
    HostKill,
    /// The platform refuses every call for a time.
    PlatformOutage,
    /// The platform cannot be reached from one zone for a time.
    ZoneCut,
}

impl ValueEnum for LoadFault {
    fn value_variants<'a>() -> &'a [Self] {
        &[
            Self::None,
            Self::StageKill,
            Self::SlowLink,
            Self::HostKill,
            Self::PlatformOutage,
            Self::ZoneCut,
        ]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

impl LoadFault {
    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::StageKill => "stage-kill",
            Self::SlowLink => "slow-link",
            Self::HostKill => "host-kill",
            Self::PlatformOutage => "platform-outage",
            Self::ZoneCut => "zone-cut",
        }
    }
}

/// Options of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadOptions {
    /// Fleet and requests of a user organisation.
    pub shape: LoadShape,
    /// Routing policy, as in the daemons' settings.
    pub policy: String,
    /// Offered generations as a multiple of the hardware bound.
    pub rate_factor: f64,
    /// Factor on the arrivals of the first, large organisation.
    pub large_factor: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Seed of arrivals and daemons.
    pub seed: u64,
    /// Fault to inject.
    pub fault: LoadFault,
    /// Directory for the report.
    pub out: Option<PathBuf>,
}

impl LoadOptions {
    /// Reads the options from the command line.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let factor = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or(1.0);
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let policy = matches.get_one::<String>("policy");
        let shape = matches.get_one("shape").copied();
        let fault = matches.get_one("fault").copied();
        Self {
            shape: shape.unwrap_or(LoadShape::Franchise),
            policy: policy.map_or_else(String::new, |policy| policy.replace('-', "_")),
            rate_factor: factor("rate-factor").clamp(0.01, 10.0),
            large_factor: factor("large-factor").clamp(0.0, 100.0),
            length: Duration::from_secs(number("seconds")),
            seed: number("seed"),
            fault: fault.unwrap_or(LoadFault::None),
            out: matches.get_one("out").cloned(),
        }
    }
}

/// Returns the command-line arguments of the program.
pub fn load_command() -> Command {
    Command::new("load")
        .about("Runs open-loop load on real daemons in front of stand-ins and measures it")
        .arg(
            Arg::new("shape")
                .long("shape")
                .default_value("franchise")
                .value_parser(value_parser!(LoadShape)),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value("estimate")
                .value_parser(["estimate", "random", "least-outstanding", "round-robin"]),
        )
        .arg(
            value_arg::<f64>("rate-factor", "0.9")
                .help("Offered generations as a multiple of the hardware bound"),
        )
        .arg(
            value_arg::<f64>("large-factor", "1")
                .help("Multiplies the arrivals of the first, large organisation"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("15")
                .value_parser(value_parser!(u64).range(5..=MAX_SECONDS)),
        )
        .arg(value_arg::<u64>("seed", "1"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .default_value("none")
                .value_parser(value_parser!(LoadFault)),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Directory for the report as JSON and as a Markdown table")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn value_arg<T>(name: &'static str, default: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let parse = |text: &str| text.parse::<T>();
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(parse)
}
