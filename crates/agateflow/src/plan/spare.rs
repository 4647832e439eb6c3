//! Replicas on slots that a plan from scratch leaves free.
//!
//! They carry no load at first, but connect components of the layout that share no expert, so that
//! new shares can shift load between any two ranks when loads or speeds change.

use crate::plan::{instance, layout};

/// Fills the free slots of `layout`, on the fastest ranks first.
pub fn fill(instance: &instance::Instance, layout: &mut layout::Layout) {
    let mut components = components(layout);
    let mut ranks: Vec<usize> = (0..layout.ranks()).collect();
    ranks.sort_by(|&a, &b| instance.speed[b].total_cmp(&instance.speed[a]).then(a.cmp(&b)));
    loop {
        let mut added = false;
        for &rank in &ranks {
            if layout.experts_on(rank).len() >= instance.slots[rank] {
                continue;
            }
            let Some(expert) = best(instance, layout, &components, rank) else {
                continue;
            };
            layout.add(rank, expert);
            merge(&mut components, layout.ranks() + expert, rank);
            added = true;
        }
        if !added {
            return;
        }
    }
}

/// The expert with the most load per replica, preferring experts of another component.
fn best(
    instance: &instance::Instance,
    layout: &layout::Layout,
    components: &[usize],
    rank: usize,
) -> Option<usize> {
    let per_replica = |e: usize| instance.load[e] / f64::from(layout.count(e).max(1));
    let separate = |e: usize| components[layout.ranks() + e] != components[rank];
    (0..layout.experts()).filter(|&e| !layout.holds(rank, e)).max_by(|&a, &b| {
        separate(a)
            .cmp(&separate(b))
            .then(per_replica(a).total_cmp(&per_replica(b)))
            .then(b.cmp(&a))
    })
}

/// The connected component of each rank, followed by that of each expert.
fn components(layout: &layout::Layout) -> Vec<usize> {
    let mut components: Vec<usize> = (0..layout.ranks() + layout.experts()).collect();
    for rank in 0..layout.ranks() {
        for &expert in layout.experts_on(rank) {
            merge(&mut components, layout.ranks() + expert as usize, rank);
        }
    }
    components
}

fn merge(components: &mut [usize], a: usize, b: usize) {
    let (from, to) = (components[a], components[b]);
    components.iter_mut().filter(|c| **c == from).for_each(|c| *c = to);
}
