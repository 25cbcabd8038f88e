//! Output of the figures as a table and as files.

use std::fmt::Display;
use std::fs;
use std::io;
use std::path::Path;

use super::figures::{LoadFigures, Quantiles};

/// One row of the table.
struct ReportLine {
    name: &'static str,
    value: String,
}

fn line<V>(name: &'static str, value: V) -> ReportLine
where
    V: Display,
{
    let value = value.to_string();
    ReportLine { name, value }
}

/// Returns the figures as a Markdown table with one row per figure.
pub fn markdown_table(figures: &LoadFigures) -> String {
    let mut table = "| figure | value |\n|---|---|\n".to_owned();
    for line in lines(figures) {
        table.push_str(&format!("| {} | {} |\n", line.name, line.value));
    }
    table.push_str("\n| organisation | offered/s | in time | first token p95, ms |\n");
    table.push_str("|---|---|---|---|\n");
    for organisation in &figures.organisations {
        table.push_str(&format!(
            "| {} | {:.1} | {} | {:.0} |\n",
            organisation.name,
            organisation.offered_per_second,
            percent(organisation.in_time_part),
            organisation.first_token.p95_ms
        ));
    }
    table
}

/// Returns the main figures as one row, for tables of several runs.
pub fn markdown_row(figures: &LoadFigures) -> String {
    let recovery = figures.recovery.as_ref().map_or_else(
        || "-".to_owned(),
        |recovery| {
            format!(
                "{:.0} / {:.0} ms ({:.1}x / {:.1}x)",
                recovery.next_token.p50_ms,
                recovery.next_token.p95_ms,
                recovery.ratio_p50,
                recovery.ratio_p95
            )
        },
    );
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        figures.shape,
        figures.policy,
        figures.fault,
        figures.rate_factor,
        percent(figures.throughput_of_bound),
        percent(figures.goodput_of_bound),
        triple(&figures.first_token),
        triple(&figures.between_tokens),
        recovery,
        counts(figures),
        figures.broken.len(),
    )
}

fn lines(figures: &LoadFigures) -> Vec<ReportLine> {
    let mut lines = vec![
        line("shape", &figures.shape),
        line("policy", &figures.policy),
        line("fault", &figures.fault),
        line("offered, of the bound", figures.rate_factor),
        line("first organisation's arrivals, times", figures.large_factor),
        line("seconds", figures.seconds),
        line("seed", figures.seed),
        line(
            "stand-in engine's own saturation",
            percent(figures.engine_saturation),
        ),
        line(
            "bound, requests/s",
            format!("{:.1}", figures.bound_requests_per_second),
        ),
        line(
            "bound, tokens/s",
            format!("{:.0}", figures.bound_tokens_per_second),
        ),
        line(
            "throughput, of the bound",
            percent(figures.throughput_of_bound),
        ),
        line("goodput, of the bound", percent(figures.goodput_of_bound)),
        line("generations", counts(figures)),
        line("first token, p50/p95/p99 ms", triple(&figures.first_token)),
        line(
            "between tokens, p50/p95/p99 ms",
            triple(&figures.between_tokens),
        ),
        line(
            "complete response, p50/p95/p99 ms",
            triple(&figures.whole_answer),
        ),
        line(
            "refusal after arrival, p50/p95/p99 ms",
            triple(&figures.refusal),
        ),
        line(
            "service call, p50/p95/p99 ms",
            triple(&figures.service_call),
        ),
        line("service calls refused", figures.calls_refused),
        line(
            "requests with a key, of these successful, sent to two hosts",
            format!(
                "{}, {}, {}",
                figures.keyed_calls, figures.keyed_answered, figures.doubled_calls
            ),
        ),
        line("refusals by reason", by_reason(&figures.refusals)),
        line("retries by reason", by_reason(&figures.retries)),
        line("fairness (Jain)", format!("{:.4}", figures.fairness)),
    ];
    lines.extend(recovery_lines(figures));
    lines.extend(usage_lines(figures));
    lines.push(line("violations of guarantees", figures.broken.len()));
    lines
}

fn recovery_lines(figures: &LoadFigures) -> Vec<ReportLine> {
    let mut lines = Vec::new();
    if let Some(recovery) = &figures.recovery {
        lines.push(line(
            "requests on the killed target or host, of these complete",
            format!("{}, {}", recovery.requests, recovery.whole),
        ));
        lines.push(line(
            "next token after the kill, p50/p95/p99 ms",
            triple(&recovery.next_token),
        ));
        lines.push(line(
            "best possible repair, ms",
            format!("{:.0}", recovery.best_possible_ms),
        ));
        lines.push(line(
            "next token over best possible, p50/p95",
            format!("{:.2} / {:.2}", recovery.ratio_p50, recovery.ratio_p95),
        ));
    }
    if figures.fault != "none" {
        let back = figures.throughput_back_ms;
        let back = back.map_or("not within the run".to_owned(), |back| format!("{back:.0}"));
        lines.push(line("throughput recovered to 90% after, ms", back));
    }
    lines
}

fn usage_lines(figures: &LoadFigures) -> Vec<ReportLine> {
    let usage = &figures.usage;
    vec![
        line(
            "threads of a daemon except peer threads, cores",
            format!("{:.3}", usage.cores_per_daemon),
        ),
        line(
            "peer thread of a daemon, cores",
            format!("{:.4}", usage.peer_cores_per_daemon),
        ),
        line(
            "whole process, cores",
            format!("{:.2}", usage.process_cores),
        ),
        line(
            "whole process with records, MB",
            format!("{:.0}", usage.process_megabytes),
        ),
        line(
            "control bytes/s of a daemon, sent and received",
            format!(
                "{:.0}, {:.0}",
                usage.control_sent_per_daemon, usage.control_received_per_daemon
            ),
        ),
    ]
}

fn percent(fraction: f64) -> String {
    format!("{:.1}%", fraction * 100.0)
}

fn triple(quantiles: &Quantiles) -> String {
    match quantiles.count {
        0 => "-".to_owned(),
        _ => format!(
            "{:.0} / {:.0} / {:.0}",
            quantiles.p50_ms, quantiles.p95_ms, quantiles.p99_ms
        ),
    }
}

fn counts(figures: &LoadFigures) -> String {
    let counts = &figures.counts;
    format!(
        "{} offered: {} in time, {} late, {} refused, {} cut, {} without a final response",
        counts.offered, counts.in_time, counts.late, counts.refused, counts.cut, counts.unanswered
    )
}

fn by_reason(counts: &std::collections::BTreeMap<String, u64>) -> String {
    let shown = counts
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let shown: Vec<String> = shown.collect();
    match shown.is_empty() {
        true => "none".to_owned(),
        false => shown.join(", "),
    }
}

/// Writes the figures as JSON and as a Markdown table into a directory.
///
/// # Errors
/// If a file cannot be written.
pub fn write_report(directory: &Path, figures: &LoadFigures) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let name = format!(
        "{}-{}-{}-{}-{}-{}",
        figures.shape,
        figures.policy,
        figures.fault,
        figures.rate_factor,
        figures.large_factor,
        figures.seed
    );
    let json = serde_json::to_string_pretty(figures)?;
    fs::write(directory.join(format!("{name}.json")), json)?;
    fs::write(
        directory.join(format!("{name}.md")),
        markdown_table(figures),
    )
}
