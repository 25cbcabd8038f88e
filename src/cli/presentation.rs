//! Writes results as tables or JSON. No other module writes output.

use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;

use super::difference::flatten_spec;
use super::rollout::RolloutProgress;
use super::table::TextTable;
use super::view::{self, StepReport};
use super::{CliError, OutputFormat};
use crate::api::wire::{ExplainView, ResourceView, StatusView};

/// Milliseconds from the Unix epoch to the start of the year 10000.
const YEAR_10000_MS: u64 = 253_402_300_800_000;

/// Writes results as tables or JSON.
pub(super) struct Presenter<W> {
    writer: W,
    format: OutputFormat,
}

impl<W> Presenter<W>
where
    W: Write,
{
    /// Creates a presenter that writes tables.
    pub(super) fn new(writer: W) -> Self {
        Self {
            writer,
            format: OutputFormat::Table,
        }
    }

    /// Sets the format of the results that follow.
    pub(super) fn use_format(&mut self, format: OutputFormat) {
        self.format = format;
    }

    /// Writes a text unchanged.
    pub(super) fn text(&mut self, text: &str) -> Result<(), CliError> {
        self.writer.write_all(text.as_bytes())?;
        Ok(self.writer.flush()?)
    }

    /// Writes a list of resources, one per row.
    pub(super) fn resources(&mut self, views: &[ResourceView]) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(views);
        }
        let mut table = TextTable::new(&["KIND", "NAME", "VERSION", "OPERATOR", "SUMMARY"]);
        for view in views {
            table.row([
                view.key.kind.name().to_owned(),
                view.key.name.to_string(),
                view.version.to_string(),
                view.operator.to_string(),
                view::summarise(&view.spec),
            ]);
        }
        self.table(&table)
    }

    /// Writes one resource with all its fields.
    pub(super) fn resource(&mut self, view: &ResourceView) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(view);
        }
        let mut table = TextTable::new(&["FIELD", "VALUE"]);
        table.row(["version".to_owned(), view.version.to_string()]);
        table.row(["operator".to_owned(), view.operator.to_string()]);
        for (field, value) in flatten_spec(&view.spec) {
            table.row([format!("spec.{field}"), view::value_text(&value)]);
        }
        self.table(&table)
    }

    /// Writes the outcome for each resource, with the fields that differ.
    pub(super) fn steps(&mut self, reports: &[StepReport]) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(reports);
        }
        let mut table = TextTable::new(&["RESOURCE", "OUTCOME", "VERSION", "DIFFERENCE"]);
        for report in reports {
            let version = report.version.map(|version| version.to_string());
            let mut fields = match report.outcome.shows_fields() {
                true => report.fields.iter().map(view::describe_field).collect(),
                false => Vec::new(),
            }
            .into_iter();
            table.row([
                report.resource.to_string(),
                report.outcome.name().to_owned(),
                version.unwrap_or_else(|| "-".to_owned()),
                fields.next().unwrap_or_default(),
            ]);
            for field in fields {
                table.row([String::new(), String::new(), String::new(), field]);
            }
        }
        self.table(&table)
    }

    /// Writes one line on how many hosts have applied a change.
    pub(super) fn progress(&mut self, progress: &RolloutProgress) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(progress);
        }
        self.text(&format!("{}\n", view::describe_progress(progress)))
    }

    /// Writes the decisions about a request.
    pub(super) fn explanation(&mut self, view: &ExplainView) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(view);
        }
        let mut table = TextTable::new(&["TIME", "SUBJECT", "DECISION"]);
        for entry in &view.entries {
            table.row([
                show_time(entry.at_ms),
                entry.subject.clone(),
                entry.text.clone(),
            ]);
        }
        self.table(&table)
    }

    /// Writes the state of a host and its view of the targets.
    pub(super) fn status(&mut self, view: &StatusView) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return self.json(view);
        }
        let mut host = TextTable::new(&["HOST", "ZONE", "READY", "DRAINING", "APPLIED"]);
        host.row([
            view.host.to_string(),
            view.zone.to_string(),
            yes_or_no(view.ready),
            yes_or_no(view.draining),
            view.applied.to_string(),
        ]);
        self.table(&host)?;
        let mut targets = TextTable::new(&["TARGET", "ZONE", "USABLE", "IN FLIGHT", "CONDITION"]);
        for target in &view.targets {
            targets.row([
                target.target.to_string(),
                target.zone.to_string(),
                yes_or_no(target.usable),
                target.in_flight.to_string(),
                target.condition.clone(),
            ]);
        }
        self.text("\n")?;
        self.table(&targets)
    }

    fn table(&mut self, table: &TextTable) -> Result<(), CliError> {
        self.text(&(table.lines().join("\n") + "\n"))
    }

    /// Writes a value as one line of JSON.
    fn json<T>(&mut self, value: &T) -> Result<(), CliError>
    where
        T: Serialize + ?Sized,
    {
        let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
        self.text(&(text + "\n"))
    }
}

fn show_time(at_ms: u64) -> String {
    match at_ms {
        // The formatter panics for years after 9999.
        YEAR_10000_MS.. => format!("{at_ms} ms"),
        _ => {
            let time = UNIX_EPOCH + Duration::from_millis(at_ms);
            humantime::format_rfc3339_millis(time).to_string()
        }
    }
}

fn yes_or_no(flag: bool) -> String {
    let text = if flag { "yes" } else { "no" };
    text.to_owned()
}
