//! The drained data centres that a process knows.

use crate::protocol::wire::queue::Drains;

/// Replaces `known` by received drains if these are of a newer version. Returns whether they are.
pub fn update(known: &mut Drains, received: &Drains) -> bool {
    let newer = received.version > known.version;
    if newer {
        replace(known, received.clone());
    }
    newer
}

/// Replaces `known`, and logs which drains begin and end thereby.
pub fn replace(known: &mut Drains, current: Drains) {
    let previous = std::mem::replace(known, current);
    let log = |event: &str, only_in: &Drains, other: &Drains| {
        for data_centre in only_in.data_centres.iter().filter(|name| !other.includes(name)) {
            log::info!("event={event} data_centre={data_centre} version={}", known.version);
        }
    };
    log("drain_begun", known, &previous);
    log("drain_ended", &previous, known);
}
