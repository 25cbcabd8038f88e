//! Estimates the throughput of a zone from sums over its layers.
//!
//! The effect of one more range follows from the sums, without another pass over all
//! engines.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::EngineView;
use crate::placement::estimate::{WAIT_FACTOR, start_capacity, usual_tokens};

/// Exponent of the power mean that approximates the capacity of the layer with the least.
/// A hard minimum does not change, and so gives no direction, while another layer is
/// equally short; the fourth power does, and stays within a fifth of the minimum if half
/// of the layers have it.
const MEAN_EXPONENT: i32 = 4;
/// Least capacity of a layer that counts, as a share of the capacity that the zone would
/// have with one copy of the weights. An engine that is widened further cannot keep its
/// running requests: widened from a capacity of 107 requests to one of four, it causes
/// 540 requests to be prefilled again.
const MIN_CAPACITY_SHARE: f64 = 0.08;
/// Lower bound of that capacity for a zone without spare memory, in usual requests. It is
/// above zero so that a partly covered gap scores higher than an uncovered one.
const MIN_CAPACITY: f64 = 0.5;
/// Pace assumed for a layer without a holder. It is slower than any kind, since a zone
/// would otherwise look faster the more layers it lacks.
const UNCOVERED_PACE: f64 = 20.0;
/// Exponent of the factor by which missing slots reduce the number of concurrent requests.
/// Below 1, so that memory still gives the search a direction while slots are the limit.
const SLOT_EXPONENT: f64 = 0.9;
/// Time of one more engine on a path, in milliseconds per event: 0.2 ms each way within
/// the availability zone and the wait for the next pass.
const HOP_MS: f64 = 2.0;

/// Sums over the holders of a layer.
#[derive(Debug, Clone, Copy, Default)]
struct LayerTotal {
    /// Cache capacity, in tokens.
    capacity: f64,
    /// Capacity of the largest holder.
    largest: f64,
    /// Step times, weighted by capacity.
    step_time: f64,
    /// Step time added by each request, weighted by the square of capacity.
    request_time: f64,
    /// Time of a hop spread over the holder's layers, weighted by capacity.
    hop_time: f64,
}

/// What an engine contributes to each layer if it holds a given number of layers.
#[derive(Debug, Clone, Copy)]
struct HolderEstimate {
    capacity: f64,
    step_ms: f64,
    request_time_ms: f64,
    hop_ms: f64,
}

impl HolderEstimate {
    fn of(model: &EngineModel, kind: AcceleratorKind, width: u32) -> Self {
        let usual_k = usual_tokens(model) / 1000.0;
        let context_ms = model.per_context_k_ms * usual_k * kind.pace;
        let width = width.max(1);
        Self {
            capacity: model.cache_capacity(kind, width) / f64::from(width),
            step_ms: model.step_ms * kind.pace,
            request_time_ms: model.per_request_ms * kind.read_factor + context_ms,
            hop_ms: HOP_MS * f64::from(model.layers)
                / f64::from(width)
                / f64::from(model.stride.max(1)),
        }
    }
}

impl LayerTotal {
    fn with(mut self, holder: HolderEstimate) -> Self {
        self.capacity += holder.capacity;
        self.largest = self.largest.max(holder.capacity);
        self.step_time += holder.capacity * holder.step_ms;
        self.request_time += holder.capacity.powi(2) * holder.request_time_ms;
        self.hop_time += holder.capacity * holder.hop_ms;
        self
    }

    /// Returns the duration of a token step at this layer, in milliseconds times layers.
    fn time_ms(&self, model: &EngineModel, requests: f64) -> f64 {
        if self.capacity <= 0.0 {
            return WAIT_FACTOR * model.step_ms * UNCOVERED_PACE;
        }
        let work =
            self.step_time / self.capacity + requests * self.request_time / self.capacity.powi(2);
        WAIT_FACTOR * work + self.hop_time / self.capacity
    }
}

/// Sums over the engines at which paths can begin, in tokens.
#[derive(Debug, Clone, Copy, Default)]
struct StartTotal {
    /// Capacity by memory and by slots.
    capacity: f64,
    /// Capacity of the engine with the most.
    largest: f64,
}

impl StartTotal {
    fn with(mut self, capacity: f64) -> Self {
        self.capacity += capacity;
        self.largest = self.largest.max(capacity);
        self
    }
}

/// Sums over a range of layers.
#[derive(Debug, Clone, Copy, Default)]
struct RangeTotal {
    /// Capacities raised to the power of -4, in usual requests.
    inverse_sum: f64,
    /// The same without the largest holder of each layer.
    spare_inverse_sum: f64,
    time_ms: f64,
}

impl RangeTotal {
    fn of(zone: &ZoneEstimate<'_>, layer: &LayerTotal) -> Self {
        let usual = usual_tokens(zone.model);
        let inverse_sum = |capacity: f64| {
            (capacity / usual)
                .max(zone.min_capacity)
                .powi(-MEAN_EXPONENT)
        };
        Self {
            inverse_sum: inverse_sum(layer.capacity),
            spare_inverse_sum: inverse_sum(layer.capacity - layer.largest),
            time_ms: layer.time_ms(zone.model, zone.requests),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            inverse_sum: self.inverse_sum + other.inverse_sum,
            spare_inverse_sum: self.spare_inverse_sum + other.spare_inverse_sum,
            time_ms: self.time_ms + other.time_ms,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            inverse_sum: self.inverse_sum - other.inverse_sum,
            spare_inverse_sum: self.spare_inverse_sum - other.spare_inverse_sum,
            time_ms: self.time_ms - other.time_ms,
        }
    }
}

/// The layers of a zone with the sums over their holders.
#[derive(Debug, Clone)]
pub(super) struct ZoneEstimate<'a> {
    model: &'a EngineModel,
    layers: Vec<LayerTotal>,
    starts: StartTotal,
    /// Requests that share each step.
    requests: f64,
    /// Capacity under which a layer counts as uncovered, in usual requests.
    min_capacity: f64,
}

impl<'a> ZoneEstimate<'a> {
    /// Builds the estimate from the layers that `engines` hold; the engine at the index
    /// `emptied` counts as empty.
    pub(super) fn of(
        model: &'a EngineModel,
        engines: &[EngineView],
        emptied: Option<usize>,
    ) -> Self {
        let held = engines.iter().enumerate();
        let held = held.filter(|(index, _)| Some(*index) != emptied);
        let held = held.filter_map(|(_, engine)| Some((engine.kind, engine.layers?)));
        let mut layers = vec![LayerTotal::default(); model.layers as usize];
        let mut starts = StartTotal::default();
        for (kind, range) in held {
            let holder = HolderEstimate::of(model, kind, range.width());
            if range.contains(0) {
                starts = starts.with(start_capacity(model, holder.capacity));
            }
            let within = layers.iter_mut().take(range.to as usize);
            for layer in within.skip(range.from as usize) {
                *layer = layer.with(holder);
            }
        }
        let mut built = Self {
            model,
            layers,
            starts,
            requests: 0.0,
            min_capacity: min_capacity(model, engines),
        };
        built.requests = built.concurrent_requests();
        built
    }

    /// Returns the number of usual requests that fit in memory and slots at once.
    fn concurrent_requests(&self) -> f64 {
        let needs = self.layers.iter();
        let needs = needs.map(|layer| RangeTotal::of(self, layer).inverse_sum);
        let by_memory = power_mean(needs.sum(), self.layers.len());
        let first = self.layers.first().copied().unwrap_or_default();
        self.within_slots(by_memory, self.starts.capacity, first.capacity)
    }

    /// Returns `by_memory`, the requests that fit in memory, reduced to those that can
    /// begin. The power mean over the layers does not show slots: it hides a shortage of
    /// one layer out of 80.
    ///
    /// `starts` is the capacity at the first layer by memory and slots, `memory` that by
    /// memory alone. Where the slots reduce no engine, the two are the same and the result
    /// is `by_memory` itself.
    fn within_slots(&self, by_memory: f64, starts: f64, memory: f64) -> f64 {
        if starts >= memory {
            return by_memory;
        }
        let requests = |tokens: f64| (tokens / usual_tokens(self.model)).max(self.min_capacity);
        let needed = requests(memory).min(by_memory);
        match requests(starts) / needed {
            share if share < 1.0 => by_memory * share.powf(SLOT_EXPONENT),
            _ => by_memory,
        }
    }

    /// Uses the number of requests that share a step in `other`.
    pub(super) fn sharing_steps_of(mut self, other: &Self) -> Self {
        self.requests = other.requests;
        self
    }

    /// Returns the number of layers without a holder, or with too little capacity to
    /// count.
    pub(super) fn uncovered_layers(&self) -> usize {
        let usual = usual_tokens(self.model);
        let uncovered_layers = self.layers.iter();
        let uncovered_layers =
            uncovered_layers.filter(|layer| layer.capacity / usual < self.min_capacity);
        uncovered_layers.count()
    }

    /// Returns the layer with the least capacity.
    pub(super) fn scarcest_layer(&self) -> u32 {
        let layers = self.layers.iter().enumerate();
        let scarcest =
            layers.min_by(|(_, left), (_, right)| left.capacity.total_cmp(&right.capacity));
        scarcest.map_or(0, |(layer, _)| layer as u32)
    }

    /// Returns the score of the zone: its throughput in requests a second, plus the
    /// throughput if each layer loses its largest holder.
    pub(super) fn score(&self) -> f64 {
        let totals = self.layers.iter();
        let totals = totals.map(|layer| RangeTotal::of(self, layer));
        let total = totals.fold(RangeTotal::default(), RangeTotal::plus);
        let first = self.layers.first().copied().unwrap_or_default();
        self.rate(total, self.starts, first)
    }

    /// Returns the prefix sums over the layers.
    pub(super) fn prefix_sums(&self) -> PrefixSums {
        self.prefix_sums_with(|layer| *layer)
    }

    fn prefix_sums_with<F>(&self, change: F) -> PrefixSums
    where
        F: Fn(&LayerTotal) -> LayerTotal,
    {
        let mut so_far = RangeTotal::default();
        let mut totals = Vec::with_capacity(self.layers.len() + 1);
        totals.push(so_far);
        for layer in &self.layers {
            so_far = so_far.plus(RangeTotal::of(self, &change(layer)));
            totals.push(so_far);
        }
        PrefixSums(totals)
    }

    /// Returns the estimate with one more holder of `width` layers at any position;
    /// `without` are the prefix sums of this zone.
    pub(super) fn with_width<'b>(
        &'b self,
        kind: AcceleratorKind,
        width: u32,
        without: &'b PrefixSums,
    ) -> WidthEstimate<'b> {
        let holder = HolderEstimate::of(self.model, kind, width);
        let first = self.layers.first().copied().unwrap_or_default();
        let starts = start_capacity(self.model, holder.capacity);
        WidthEstimate {
            zone: self,
            without,
            with: self.prefix_sums_with(|layer| layer.with(holder)),
            without_first: (self.starts, first),
            with_first: (self.starts.with(starts), first.with(holder)),
        }
    }

    fn rate(&self, total: RangeTotal, starts: StartTotal, first: LayerTotal) -> f64 {
        let layers = self.layers.len();
        let whole = power_mean(total.inverse_sum, layers);
        let spare = power_mean(total.spare_inverse_sum, layers);
        let requests = self.within_slots(whole, starts.capacity, first.capacity)
            + self.within_slots(
                spare,
                starts.capacity - starts.largest,
                first.capacity - first.largest,
            );
        let token_ms = (total.time_ms / f64::from(self.model.layers)).max(f64::MIN_POSITIVE);
        let answer = f64::from(self.model.usual_answer.max(1));
        requests / (token_ms * answer / 1000.0)
    }
}

/// Prefix sums over the layers of a zone; the first sum is empty.
#[derive(Debug)]
pub(super) struct PrefixSums(Vec<RangeTotal>);

impl PrefixSums {
    fn all(&self) -> RangeTotal {
        self.0[self.0.len() - 1]
    }

    fn within(&self, range: LayerRange) -> RangeTotal {
        self.0[range.to as usize].minus(self.0[range.from as usize])
    }
}

/// The estimate of a zone with one more holder of a fixed width.
#[derive(Debug)]
pub(super) struct WidthEstimate<'a> {
    zone: &'a ZoneEstimate<'a>,
    without: &'a PrefixSums,
    with: PrefixSums,
    /// Sums at the first layer without and with the holder.
    without_first: (StartTotal, LayerTotal),
    with_first: (StartTotal, LayerTotal),
}

impl WidthEstimate<'_> {
    /// Returns the score of the zone if the holder has these layers.
    pub(super) fn score(&self, range: LayerRange) -> f64 {
        let others = self.without.all().minus(self.without.within(range));
        let (starts, first) = match range.contains(0) {
            true => self.with_first,
            false => self.without_first,
        };
        let total = others.plus(self.with.within(range));
        self.zone.rate(total, starts, first)
    }
}

/// Returns the number of layers of a zone without a holder, or with too little capacity
/// to count.
pub(super) fn uncovered_count(model: &EngineModel, engines: &[EngineView]) -> usize {
    ZoneEstimate::of(model, engines, None).uncovered_layers()
}

/// Returns the capacity under which a layer of a zone counts as uncovered, in usual
/// requests.
fn min_capacity(model: &EngineModel, engines: &[EngineView]) -> f64 {
    let memory_mb = engines.iter().map(|engine| engine.kind.memory_mb);
    let weights_mb = f64::from(model.layers) * model.layer_mb;
    let free_mb = (memory_mb.sum::<f64>() - weights_mb).max(0.0);
    let requests = free_mb * 1e6 / model.kv_token_bytes / usual_tokens(model);
    (MIN_CAPACITY_SHARE * requests).max(MIN_CAPACITY)
}

/// Returns the power mean of the capacities from the sum of their powers of -4.
fn power_mean(inverse_sum: f64, layers: usize) -> f64 {
    let mean = inverse_sum / layers.max(1) as f64;
    // Two square roots instead of `powf`: a plan computes this some hundred thousand
    // times.
    const { assert!(MEAN_EXPONENT == 4) };
    mean.max(f64::MIN_POSITIVE).sqrt().sqrt().recip()
}
