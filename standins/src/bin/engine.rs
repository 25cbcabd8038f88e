//! Runs the engine stand-in until it is killed.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use jackdawwick::ids::LayerIndex;
use jackdawwick::target::wire::EngineRole;
use standins::command_line::{
    announce, base_command, count, listen_addr, micros, millis, number, number_arg, text,
};
use standins::engine::{EngineServer, EngineSettings, FencingMode};

/// Layers that the engine holds, both inclusive.
#[derive(Debug, Clone, Copy)]
struct LayerRange {
    first: LayerIndex,
    last: LayerIndex,
}

fn parse_layers(text: &str) -> Result<LayerRange, String> {
    let (first, last) = text.split_once('-').ok_or("expected FIRST-LAST")?;
    let parse = |part: &str| {
        part.parse::<LayerIndex>()
            .map_err(|error| error.to_string())
    };
    let (first, last) = (parse(first)?, parse(last)?);
    match first <= last {
        true => Ok(LayerRange { first, last }),
        false => Err("the first layer is above the last".to_owned()),
    }
}

fn command() -> Command {
    base_command("engine", "Stand-in for a model engine")
        .arg(
            Arg::new("layers")
                .long("layers")
                .help("Layers to hold, as FIRST-LAST; by default none are loaded")
                .value_parser(parse_layers),
        )
        .arg(Arg::new("model").long("model").default_value("model"))
        .arg(
            Arg::new("version")
                .long("model-version")
                .alias("version")
                .default_value("v1"),
        )
        .arg(
            Arg::new("model-layers")
                .long("model-layers")
                .help("Layers of the whole model")
                .default_value("12")
                .value_parser(value_parser!(LayerIndex)),
        )
        .arg(
            Arg::new("role")
                .long("role")
                .value_parser(["mixed", "prefill", "decode"])
                .default_value("mixed"),
        )
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .value_parser(["checks", "ignores"])
                .default_value("checks"),
        )
        .arg(number_arg("concurrency", "16").help("Steps that run at the same time"))
        .arg(number_arg("max-waiting", "1024").help("Steps that may wait"))
        .arg(number_arg("step-time-us", "0").help("Time of one decode step"))
        .arg(
            number_arg("prefill-time-us", "0")
                .help("Time of one prompt input not in the prefix cache"),
        )
        .arg(number_arg("load-time-ms", "0").help("Time to load the ranges of an order"))
        .arg(number_arg("load-lag-ms", "100").help("Time between refreshes of the load report"))
        .arg(number_arg("cached-prefixes", "256").help("Prefixes that the prefix cache holds"))
        .arg(number_arg("chunk-inputs", "16").help("Inputs per chunk of the prefix cache"))
        .arg(number_arg("cache-event-delay-ms", "0").help("Delay of the cache events"))
        .arg(
            number_arg("drop-cache-event-every", "0")
                .help("Every k-th cache event is dropped; 0 drops none"),
        )
        .arg(number_arg("record-cap", "1000000").help("Maximum number of recorded entries"))
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let model_layers = matches.get_one("model-layers").copied().unwrap_or(1);
    let base = match matches.get_one::<LayerRange>("layers") {
        Some(range) => EngineSettings::new(
            text(matches, "model"),
            text(matches, "version"),
            model_layers,
            range.first,
            range.last,
        ),
        None => EngineSettings {
            model_layers,
            ..EngineSettings::default()
        },
    };
    let role = match text(matches, "role") {
        "prefill" => EngineRole::Prefill,
        "decode" => EngineRole::Decode,
        _ => EngineRole::Mixed,
    };
    let fencing = match text(matches, "fencing") {
        "ignores" => FencingMode::Ignores,
        _ => FencingMode::Checks,
    };
    let drop_every = number(matches, "drop-cache-event-every");
    EngineSettings {
        name: text(matches, "name").to_owned(),
        role,
        fencing,
        concurrency: count(matches, "concurrency"),
        max_waiting: count(matches, "max-waiting"),
        step_time: micros(matches, "step-time-us"),
        prefill_time_per_token: micros(matches, "prefill-time-us"),
        load_time: millis(matches, "load-time-ms"),
        load_lag: millis(matches, "load-lag-ms"),
        cached_prefixes: count(matches, "cached-prefixes"),
        chunk_inputs: count(matches, "chunk-inputs"),
        cache_event_delay: millis(matches, "cache-event-delay-ms"),
        drop_cache_event_every: (drop_every > 0).then_some(drop_every),
        record_cap: count(matches, "record-cap"),
        ..base
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let server = EngineServer::bind(listen_addr(&matches), settings(&matches)).await?;
    announce(server.local_addr())?;
    std::future::pending().await
}
