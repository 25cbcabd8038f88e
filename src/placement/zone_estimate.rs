//! What a zone carries, added up layer by layer, so that the effect of one
//! more range is known without going through all engines again.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::EngineView;
use crate::placement::estimate::{WAIT_FACTOR, usual_tokens};

/// Exponent of the mean that stands for the layer with the least room. A hard
/// minimum gives no sign of whether a change goes the right way while another
/// layer is as short of room; the fourth power does, and stays within a fifth
/// of the minimum where half of the layers have it.
const MEAN_EXPONENT: i32 = 4;
/// Least room of a layer that is worth anything, as a part of the room that
/// the zone would have with one copy of the weights. An engine that takes over
/// so many layers that less is left cannot hold what runs on it: on a traced day
/// one went from 107 requests to four, and 540 requests were read again.
const MIN_CAPACITY_SHARE: f64 = 0.08;
/// The same for a zone without memory to spare, in usual requests: above zero
/// so that half a hole is better than a whole one.
const MIN_CAPACITY: f64 = 0.5;
/// Pace that a layer without holder counts with: slower than any kind, since
/// a zone would otherwise look faster the more layers it lacks.
const UNCOVERED_PACE: f64 = 20.0;
/// Time of one more engine on a path, in milliseconds an event: 0.2 ms each
/// way in the availability zone and the time until a pass begins.
const HOP_MS: f64 = 2.0;

/// One layer's share of what its holders give.
#[derive(Debug, Clone, Copy, Default)]
struct LayerTotal {
    /// Room for requests over all holders, in tokens.
    capacity: f64,
    /// On the holder with the most.
    largest: f64,
    /// Step time of each holder, weighted by its room.
    step_time: f64,
    /// Time for each request of each holder, weighted by its room squared.
    request_time: f64,
    /// Time of a hop spread over the holder's layers, weighted by its room.
    hop_time: f64,
}

/// An engine's figures at one width.
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

    /// Time of a token step at this layer, in milliseconds times layers.
    fn time_ms(&self, model: &EngineModel, requests: f64) -> f64 {
        if self.capacity <= 0.0 {
            return WAIT_FACTOR * model.step_ms * UNCOVERED_PACE;
        }
        let work =
            self.step_time / self.capacity + requests * self.request_time / self.capacity.powi(2);
        WAIT_FACTOR * work + self.hop_time / self.capacity
    }
}

/// What the layers of a zone have, summed over a run of them.
#[derive(Debug, Clone, Copy, Default)]
struct RangeTotal {
    /// Of the rooms to the power of minus four, in usual requests.
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

/// The layers of a zone as some engines hold them.
#[derive(Debug, Clone)]
pub(super) struct ZoneEstimate<'a> {
    model: &'a EngineModel,
    layers: Vec<LayerTotal>,
    /// Requests that each step is shared with.
    requests: f64,
    /// Room under which a layer counts as without holder, in usual requests.
    min_capacity: f64,
}

impl<'a> ZoneEstimate<'a> {
    /// The layers as `engines` hold them; one of them may count as empty.
    pub(super) fn of(
        model: &'a EngineModel,
        engines: &[EngineView],
        emptied: Option<usize>,
    ) -> Self {
        let held = engines.iter().enumerate();
        let held = held.filter(|(index, _)| Some(*index) != emptied);
        let held = held.filter_map(|(_, engine)| Some((engine.kind, engine.layers?)));
        let mut layers = vec![LayerTotal::default(); model.layers as usize];
        for (kind, range) in held {
            let holder = HolderEstimate::of(model, kind, range.width());
            let within = layers.iter_mut().take(range.to as usize);
            for layer in within.skip(range.from as usize) {
                *layer = layer.with(holder);
            }
        }
        let mut figure = Self {
            model,
            layers,
            requests: 0.0,
            min_capacity: min_capacity(model, engines),
        };
        figure.requests = figure.concurrent_requests();
        figure
    }

    /// Usual requests for which there is room at once.
    fn concurrent_requests(&self) -> f64 {
        let needs = self.layers.iter();
        let needs = needs.map(|layer| RangeTotal::of(self, layer).inverse_sum);
        power_mean(needs.sum(), self.layers.len())
    }

    /// Works as if each step were shared with as many requests as there.
    pub(super) fn sharing_steps_of(mut self, other: &Self) -> Self {
        self.requests = other.requests;
        self
    }

    /// Layers without holder, or with too little room to count.
    pub(super) fn uncovered_layers(&self) -> usize {
        let usual = usual_tokens(self.model);
        let uncovered_layers = self.layers.iter();
        let uncovered_layers =
            uncovered_layers.filter(|layer| layer.capacity / usual < self.min_capacity);
        uncovered_layers.count()
    }

    /// The layer with the least room.
    pub(super) fn scarcest_layer(&self) -> u32 {
        let layers = self.layers.iter().enumerate();
        let scarcest =
            layers.min_by(|(_, left), (_, right)| left.capacity.total_cmp(&right.capacity));
        scarcest.map_or(0, |(layer, _)| layer as u32)
    }

    /// Requests a second that the zone carries, plus what is left of that
    /// where each layer is without its largest holder.
    pub(super) fn score(&self) -> f64 {
        let totals = self.layers.iter();
        let totals = totals.map(|layer| RangeTotal::of(self, layer));
        self.rate(totals.fold(RangeTotal::default(), RangeTotal::plus))
    }

    /// What the layers have up to each of them.
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

    /// The zone with one more holder of so many layers, wherever they lie;
    /// `without` are the totals of this zone.
    pub(super) fn with_width<'b>(
        &'b self,
        kind: AcceleratorKind,
        width: u32,
        without: &'b PrefixSums,
    ) -> WidthEstimate<'b> {
        let holder = HolderEstimate::of(self.model, kind, width);
        WidthEstimate {
            zone: self,
            without,
            with: self.prefix_sums_with(|layer| layer.with(holder)),
        }
    }

    fn rate(&self, total: RangeTotal) -> f64 {
        let layers = self.layers.len();
        let requests =
            power_mean(total.inverse_sum, layers) + power_mean(total.spare_inverse_sum, layers);
        let token_ms = (total.time_ms / f64::from(self.model.layers)).max(f64::MIN_POSITIVE);
        let answer = f64::from(self.model.usual_answer.max(1));
        requests / (token_ms * answer / 1000.0)
    }
}

/// What the layers of a zone have up to each of them, none first.
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

/// A zone with one more holder of a fixed width.
#[derive(Debug)]
pub(super) struct WidthEstimate<'a> {
    zone: &'a ZoneEstimate<'a>,
    without: &'a PrefixSums,
    with: PrefixSums,
}

impl WidthEstimate<'_> {
    /// The zone's worth where the holder has these layers.
    pub(super) fn score(&self, range: LayerRange) -> f64 {
        let others = self.without.all().minus(self.without.within(range));
        self.zone.rate(others.plus(self.with.within(range)))
    }
}

/// Layers of a zone without holder, or with too little room to count.
pub(super) fn uncovered_count(model: &EngineModel, engines: &[EngineView]) -> usize {
    ZoneEstimate::of(model, engines, None).uncovered_layers()
}

/// Room under which a layer of a zone counts as without holder, in usual
/// requests.
fn min_capacity(model: &EngineModel, engines: &[EngineView]) -> f64 {
    let memory_mb = engines.iter().map(|engine| engine.kind.memory_mb);
    let weights_mb = f64::from(model.layers) * model.layer_mb;
    let free_mb = (memory_mb.sum::<f64>() - weights_mb).max(0.0);
    let requests = free_mb * 1e6 / model.kv_token_bytes / usual_tokens(model);
    (MIN_CAPACITY_SHARE * requests).max(MIN_CAPACITY)
}

/// The mean that stands for the least room, from the sum of the rooms to the
/// power of minus four.
fn power_mean(inverse_sum: f64, layers: usize) -> f64 {
    let mean = inverse_sum / layers.max(1) as f64;
    // The fourth root, by two square roots: a plan takes it some hundred thousand
    // times.
    const { assert!(MEAN_EXPONENT == 4) };
    mean.max(f64::MIN_POSITIVE).sqrt().sqrt().recip()
}
