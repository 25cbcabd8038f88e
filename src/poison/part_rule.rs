//! Decides which part of a prompt crashes targets.
//!
//! All requests on a target break with it, and each has parts that sound requests share. A
//! part is held responsible if nothing with it has survived since targets began to end, and
//! most targets that ended meanwhile had a request with it.

use std::time::{Duration, Instant};

use super::end_source::{EndSource, OrganisationHash};
use super::recent_ends::RecentEnds;
use super::record::{MAX_PART_ENDS, PoisonRecord, REFUSAL_TIMES, TargetEnd};
use super::suspect_index::SuspectIndex;
use super::table::PoisonTable;

/// Number of ends, of different targets under different requests, that prove a part which no
/// target is known to have survived.
const ENDS_OF_UNKNOWN_PART: usize = 2;
/// Number of moments at which targets have to end under a part that was survived before.
/// Engines of one rack end at one moment.
const MOMENTS_OF_KNOWN_PART: usize = 3;
/// Time between two ends from which they are different moments.
const MOMENT_SPACING: Duration = Duration::from_secs(1);
/// A part is held responsible only if more than one of this number of the targets that ended
/// meanwhile ended under it: of few ends most, of more ends fewer, since several parts may be
/// at fault at a time.
const TARGETS_PER_FEW_ENDS: usize = 2;
const TARGETS_PER_END: usize = 3;
/// Time before the first end under a part in which targets that ended without it count, too,
/// unless they ended under another suspected part. While a target a second ends for other
/// reasons, two of them break requests with the same rare part by chance.
const UNEXPLAINED_TIME: Duration = Duration::from_secs(5);
/// Time by which the ends of one crash may be observed apart.
const OBSERVATION_SPREAD: Duration = Duration::from_millis(500);
/// Time in which hosts that have seen a part survive tell the others.
pub(super) const CLEARANCE_TIME: Duration = Duration::from_secs(1);
/// The same for a part that was survived before: a run that has begun since shows it after a
/// second, and then hosts have to tell each other.
const KNOWN_CLEARANCE_TIME: Duration = Duration::from_secs(2);
/// Maximum time for which the decision on a part waits until the host has heard of a survival
/// and other hosts had time to report theirs. Hosts that started together remember none, and a
/// run that began after the start survives its parts after 1.2 s at the earliest.
const START_CLEARANCE_TIME: Duration = Duration::from_secs(3);
/// Time after which another end is the result of another try, rather than of a request that
/// was sent before all hosts knew.
const TRY_SPACING: Duration = Duration::from_secs(300);

/// The conclusion on a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartVerdict {
    /// Requests with it may be sent.
    Sound,
    /// Requests with it wait: by this time it is either cleared or refused.
    Pending(Instant),
    /// Requests with it are refused.
    Poison,
}

/// What the decision on a part takes into account besides its own record.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartContext<'a> {
    table: &'a PoisonTable,
}

impl PoisonTable {
    pub(super) fn part_context(&self) -> PartContext<'_> {
        PartContext { table: self }
    }
}

impl<'a> PartContext<'a> {
    /// Returns the index of all parts, which is built on the first use after a change.
    pub(super) fn index(&self) -> &'a SuspectIndex {
        let table = self.table;
        table
            .index
            .get_or_init(|| SuspectIndex::new(&table.records))
    }

    /// Returns whether a target of a series broke several requests, so that its end says less
    /// about each of them.
    fn has_crowded_target(&self, series: &EndSeries) -> bool {
        let index = self.index();
        let mut targets = series.ends.iter().map(|(source, _)| source.target);
        targets.any(|target| index.is_crowded(target))
    }

    /// Returns when a part that no target is known to have survived is refused, if enough
    /// targets had ended under it by `reached`.
    fn decided_at(&self, series: &EndSeries, reached: Instant) -> Instant {
        let regular = reached + CLEARANCE_TIME;
        let latest = reached + START_CLEARANCE_TIME;
        let informed = match self.table.first_survival {
            None => latest,
            Some(at) => latest.min(at + CLEARANCE_TIME),
        };
        match informed > regular && self.has_crowded_target(series) {
            true => informed,
            false => regular,
        }
    }
}

/// The ends that count against a part.
#[derive(Debug, Default)]
struct EndSeries {
    ends: Vec<(EndSource, Instant)>,
}

impl EndSeries {
    /// Returns the ends, in order of time.
    fn new<I>(ends: I) -> Self
    where
        I: Iterator<Item = (EndSource, Instant)>,
    {
        let mut ends = ends.collect::<Vec<_>>();
        ends.sort_by_key(|(_, at)| *at);
        Self { ends }
    }

    /// Returns the number of ends that are independent of each other, among the first
    /// `length`. A request that is resumed on one target after the other, and several
    /// requests on one target, count once.
    fn independent(&self, length: usize) -> usize {
        let ends = &self.ends[..length];
        let targets = count_distinct(ends.iter().map(|(source, _)| source.target));
        let requests = count_distinct(ends.iter().map(|(source, _)| source.request));
        targets.min(requests)
    }

    /// Returns when the number of independent ends reached `count`.
    fn reached(&self, count: usize) -> Option<Instant> {
        let length = (1..=self.ends.len()).find(|length| self.independent(*length) >= count)?;
        self.ends.get(length - 1).map(|(_, at)| *at)
    }

    /// Returns the moments at which targets ended.
    fn moments(&self, spacing: Duration) -> Vec<Instant> {
        let mut moments: Vec<Instant> = Vec::new();
        for (_, at) in &self.ends {
            if moments.last().is_none_or(|last| *at >= *last + spacing) {
                moments.push(*at);
            }
        }
        moments
    }

    fn has_several_organisations(&self) -> bool {
        count_distinct(self.ends.iter().map(|(source, _)| source.organisation)) > 1
    }

    fn has_target(&self, target: u32) -> bool {
        self.ends.iter().any(|(source, _)| source.target == target)
    }

    /// Returns whether most targets that ended meanwhile, or shortly before and under no other
    /// suspected part, ended under this one.
    fn explains(&self, others: &OtherSuspects<'_>, recent: &RecentEnds) -> bool {
        let (Some((_, first)), Some((_, last))) = (self.ends.first(), self.ends.last()) else {
            return false;
        };
        let ends = self.independent(self.ends.len());
        let targets_per_end = match ends {
            0..=ENDS_OF_UNKNOWN_PART => TARGETS_PER_FEW_ENDS,
            _ => TARGETS_PER_END,
        };
        let from = first.checked_sub(OBSERVATION_SPREAD).unwrap_or(*first);
        let meanwhile = recent.within(from..=*last + OBSERVATION_SPREAD).count();
        let allowed = (targets_per_end * ends).saturating_sub(meanwhile);
        if allowed == 0 {
            return false;
        };
        let before_from = first.checked_sub(UNEXPLAINED_TIME).unwrap_or(*first);
        let before = recent.within(before_from..from);
        let before = before.filter(|target| !self.has_target(*target));
        let before = before.collect::<Vec<_>>();
        if before.len() < allowed {
            return true;
        }
        let before = before.into_iter();
        let unexplained =
            before.filter(|target| !others.have_target(*target, ENDS_OF_UNKNOWN_PART));
        unexplained.count() < allowed
    }

    /// Returns whether each target also ended under another suspected part that has more ends,
    /// or two if this one has two. Then a further end tells which part it is.
    fn is_explained_by(&self, others: &OtherSuspects<'_>) -> bool {
        let ends = self.independent(self.ends.len());
        let min_ends = match ends {
            0..=ENDS_OF_UNKNOWN_PART => ends,
            _ => ends + 1,
        };
        let mut targets = self.ends.iter().map(|(source, _)| source.target);
        targets.all(|target| others.have_target(target, min_ends))
    }
}

/// The other parts that no target is known to have survived and under which several ended.
/// Parts that cannot be told apart from the judged one are left out.
struct OtherSuspects<'a> {
    context: PartContext<'a>,
    /// Sorted sources of the judged part.
    sources: Vec<u64>,
    /// Ends after this moment do not count: later suspects explain no earlier ends.
    until: Instant,
}

impl OtherSuspects<'_> {
    /// Returns whether a target ended under one with at least `min_ends` independent ends.
    fn have_target(&self, target: u32, min_ends: usize) -> bool {
        let index = self.context.index();
        index.has_ended_under_other(target, &self.sources, min_ends, self.until)
    }
}

fn count_distinct<T, I>(items: I) -> usize
where
    T: Ord,
    I: Iterator<Item = T>,
{
    let mut items = items.collect::<Vec<_>>();
    items.sort_unstable();
    items.dedup();
    items.len()
}

impl PoisonRecord {
    /// Returns the conclusion on a part, for requests of an organisation.
    ///
    /// Targets that ended under the requests of one organisation count against its requests
    /// alone, so that no organisation can have another's requests refused.
    pub(super) fn part_verdict(
        &self,
        organisation: OrganisationHash,
        context: PartContext<'_>,
        now: Instant,
    ) -> PartVerdict {
        let all = EndSeries::new(self.sources());
        let own = self.sources();
        let own = EndSeries::new(own.filter(|(source, _)| source.organisation == organisation));
        let verdicts = [
            Some(&own),
            Some(&all).filter(|all| all.has_several_organisations()),
        ];
        let verdicts = verdicts.into_iter().flatten();
        let verdicts = verdicts.map(|series| self.series_verdict(series, context, now));
        verdicts.fold(PartVerdict::Sound, PartVerdict::or)
    }

    /// Returns whether requests of any organisation with the part are refused.
    pub(super) fn is_poison_part(&self, context: PartContext<'_>, now: Instant) -> bool {
        let organisations = self.sources().map(|(source, _)| source.organisation);
        let mut organisations = organisations.collect::<Vec<_>>();
        organisations.sort_unstable();
        organisations.dedup();
        organisations.into_iter().any(|organisation| {
            self.part_verdict(organisation, context, now) == PartVerdict::Poison
        })
    }

    /// Returns the number of ends that the platform's log has to list for a part. A part that
    /// was refused stays in the log until it expires or is survived.
    ///
    /// The log lists no more ends than each host remembers of a part. Otherwise hosts that
    /// remember fewer would write the record again each time that others have written it.
    pub(super) fn required_part_in_log(&self, context: PartContext<'_>, now: Instant) -> usize {
        let was_refused = self.in_log > 0 && !self.has_expired(now);
        match was_refused || self.is_poison_part(context, now) {
            true => self.ends.len().min(MAX_PART_ENDS),
            false => 0,
        }
    }

    /// Returns until when a request with the part, under which a target has just ended,
    /// should wait before it is sent to another one.
    pub(super) fn unproven_until(&self, now: Instant) -> Option<Instant> {
        let last = self.ends.iter().map(|end| end.at).max()?;
        let until = last + CLEARANCE_TIME;
        (self.survived.is_none() && now < until).then_some(until)
    }

    fn sources(&self) -> impl Iterator<Item = (EndSource, Instant)> + use<'_> {
        let source = |end: &TargetEnd| (EndSource::from_bits(end.source), end.at);
        self.ends.iter().map(source)
    }

    fn series_verdict(
        &self,
        series: &EndSeries,
        context: PartContext<'_>,
        now: Instant,
    ) -> PartVerdict {
        let decided = match self.survived {
            None => {
                let reached = series.reached(ENDS_OF_UNKNOWN_PART);
                reached.map(|at| context.decided_at(series, at))
            }
            Some(_) => {
                let moments = series.moments(MOMENT_SPACING);
                let reached = moments.get(MOMENTS_OF_KNOWN_PART - 1);
                let proved = series.reached(MOMENTS_OF_KNOWN_PART);
                let reached = reached
                    .zip(proved)
                    .map(|(moment, proved)| proved.max(*moment));
                reached.map(|at| at + KNOWN_CLEARANCE_TIME)
            }
        };
        let last = series.ends.last().map(|(_, at)| *at);
        let Some((decided, last)) = decided.zip(last) else {
            return PartVerdict::Sound;
        };
        let is_known = self.survived.is_some();
        let others = OtherSuspects {
            context,
            sources: self.sorted_sources(),
            until: last + OBSERVATION_SPREAD,
        };
        let refused_for = refusal_time(series.moments(TRY_SPACING).len());
        match now {
            _ if !series.explains(&others, &context.table.recent) => PartVerdict::Sound,
            _ if now < decided && !is_known => PartVerdict::Pending(decided),
            _ if now < decided || now >= last + refused_for => PartVerdict::Sound,
            _ if series.is_explained_by(&others) => PartVerdict::Sound,
            _ => PartVerdict::Poison,
        }
    }
}

impl PartVerdict {
    /// Returns the stricter of two verdicts.
    pub(super) fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Poison, _) | (_, Self::Poison) => Self::Poison,
            (Self::Pending(first), Self::Pending(second)) => Self::Pending(first.max(second)),
            (Self::Pending(until), Self::Sound) | (Self::Sound, Self::Pending(until)) => {
                Self::Pending(until)
            }
            (Self::Sound, Self::Sound) => Self::Sound,
        }
    }
}

/// Returns for how long a part is refused after this number of tries ended a target.
fn refusal_time(tries: usize) -> Duration {
    let index = tries.saturating_sub(1).min(REFUSAL_TIMES.len() - 1);
    REFUSAL_TIMES[index]
}
