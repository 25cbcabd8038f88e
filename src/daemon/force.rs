//! View for operators of how far the configuration is in effect.

use std::time::Instant;

use super::core::{DaemonCore, DaemonPhase};
use crate::api::wire::{ForceView, HostForceView};
use crate::ids::LogOffset;
use crate::membership::{self, HostMember, MemberPhase};

/// Returns all known hosts with the offset that each is known to have applied.
pub(super) fn force_view(core: &DaemonCore) -> ForceView {
    let applied = *core.applied.borrow();
    let draining = core.phase() == DaemonPhase::Draining;
    let membership = core.tables.membership.lock();
    let zones = membership.force_view(Instant::now());
    let own = HostForceView {
        host: core.host().clone(),
        applied,
        reachable: true,
        draining,
    };
    let others = membership
        .members()
        .map(|member| member_view(member, &zones));
    ForceView {
        in_force: zones.lowest_applied_offset().unwrap_or(0).min(applied),
        hosts: std::iter::once(own).chain(others).collect(),
    }
}

/// Builds the view of one host.
///
/// The state of a host without a recent heartbeat is taken from its zone's report, if the
/// report covers all hosts of the zone that are known here and counts none as
/// unreachable. Only a few hosts of another zone send heartbeats to this one. Without the
/// zone's report, the others would always count as unreachable, and no change would count
/// as in effect everywhere.
fn member_view(member: &HostMember, zones: &membership::ForceView) -> HostForceView {
    let reported = match member.phase {
        MemberPhase::Live => Some(member.applied_offset),
        _ => reported_by_zone(member, zones),
    };
    HostForceView {
        host: member.host.clone(),
        applied: member.applied_offset.max(reported.unwrap_or(0)),
        reachable: reported.is_some(),
        draining: member.draining,
    }
}

fn reported_by_zone(member: &HostMember, zones: &membership::ForceView) -> Option<LogOffset> {
    let zone = zones.zones.get(&member.zone)?;
    match zone.unreachable.is_empty() && zone.unnamed_unreachable == 0 {
        true => zone.lowest_applied_offset,
        false => None,
    }
}
