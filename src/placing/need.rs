//! Where one engine more is missed most.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::EngineView;
use crate::placing::estimate::HeldRange;

/// Requests for which a layer's room is worth half of what it can be worth. A
/// zone of a dozen engines carries about a hundred at once.
const HALF_WORTH_REQUESTS: f64 = 50.0;
/// What a first holder is worth besides its room: without one the zone serves
/// nothing, which outweighs any room elsewhere.
const FIRST_HOLDER: f64 = 4.0;

/// Room for requests at one layer, in tokens.
#[derive(Debug, Clone, Copy, Default)]
struct LayerRoom {
    holders: u32,
    /// Over all holders.
    whole: f64,
    /// On the holder with the most.
    largest: f64,
}

impl LayerRoom {
    fn add(self, room: f64) -> Self {
        Self {
            holders: self.holders + 1,
            whole: self.whole + room,
            largest: self.largest.max(room),
        }
    }

    /// What the room is worth, with all holders and without the largest: it
    /// grows fast up to the room of `usual` tokens and slowly beyond.
    fn benefit(self, usual: f64) -> f64 {
        let worth = |room: f64| room / (room + usual);
        let held = if self.holders > 0 { FIRST_HOLDER } else { 0.0 };
        held + worth(self.whole) + worth(self.whole - self.largest)
    }
}

/// The range in which an engine helps the layers with the least room most.
pub(super) fn neediest_range(
    model: &EngineModel,
    engines: &[EngineView],
    index: usize,
) -> LayerRange {
    let rooms = layer_rooms(model, engines);
    let kind = engines[index].kind;
    let most = model.most_layers(kind).max(1);
    let usual = f64::from(model.usual_prompt + model.usual_answer) * HALF_WORTH_REQUESTS;
    let mut best = (f64::NEG_INFINITY, LayerRange { from: 0, to: most });
    for width in 1..=most {
        let range = |from| LayerRange {
            from,
            to: from + width,
        };
        let held = HeldRange {
            kind,
            layers: range(0),
        };
        let added = held.room(model);
        let gains = rooms
            .iter()
            .map(|room| room.add(added).benefit(usual) - room.benefit(usual));
        let gains = gains.collect::<Vec<_>>();
        for layers in (0..=model.layers - width).map(range) {
            let gain = gains[layers.from as usize..layers.to as usize]
                .iter()
                .sum::<f64>();
            if gain > best.0 + 1e-9 {
                best = (gain, layers);
            }
        }
    }
    best.1
}

fn layer_rooms(model: &EngineModel, engines: &[EngineView]) -> Vec<LayerRoom> {
    let mut rooms = vec![LayerRoom::default(); model.layers as usize];
    for held in HeldRange::all(engines) {
        let room = held.room(model);
        for slot in &mut rooms[held.layers.from as usize..held.layers.to as usize] {
            *slot = slot.add(room);
        }
    }
    rooms
}
