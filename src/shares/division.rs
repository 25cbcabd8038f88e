//! Max-min fair division of an amount.

/// Divides `available` by max-min fairness over `wants`, then spreads the unwanted rest
/// evenly, so that the next request finds some of it on whichever host it arrives.
/// Remainders go to the first parts.
pub fn divide(available: u32, wants: &[u32]) -> Vec<u32> {
    let mut parts = vec![0; wants.len()];
    let mut remaining = available;
    while remaining > 0 {
        let unsatisfied: Vec<_> = (0..wants.len())
            .filter(|index| parts[*index] < wants[*index])
            .collect();
        if unsatisfied.is_empty() {
            break;
        }
        // All unsatisfied parts have received the same amount so far. Single units are
        // given only when no full round is left: given earlier, they would put the first
        // parts ahead of the others.
        let level = (remaining / length(unsatisfied.len())).max(1);
        for index in unsatisfied {
            let granted = level.min(wants[index] - parts[index]).min(remaining);
            parts[index] += granted;
            remaining -= granted;
        }
    }
    spread_evenly(remaining, &mut parts);
    parts
}

fn spread_evenly(remaining: u32, parts: &mut [u32]) {
    let count = length(parts.len().max(1));
    for (position, part) in (0..).zip(parts) {
        *part += remaining / count + u32::from(position < remaining % count);
    }
}

fn length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
