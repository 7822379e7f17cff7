//! Leased registrations of backend servers, and leases of entry sessions.

use briargauge::{
    coordination::{
        registry::{CHANGES_MAX, LEASE_MS, Registry, SUCCESSOR_TRUSTED_MS},
        session::{ABANDON_MARGIN_MS, Due, Leases},
    },
    protocol::{id, job, wire::control},
};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen, QuickCheck};

pub fn server(incarnation: u64, number: u16) -> control::Server {
    control::Server {
        incarnation: id::Incarnation(incarnation),
        addr: ([127, 0, 0, 1], 7_000 + number).into(),
        data_centre: "Kurume".into(),
        rack: format!("r{}", number % 3),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::ServerState::Serving,
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Announce {
        server: u16,
        restart: bool,
        leaving: bool,
    },
    /// An earlier announcement arrives again.
    Repeat {
        announcement: u8,
    },
    Wait {
        ms: u64,
    },
    Drain {
        rack: u16,
    },
    Sync {
        entry: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let server = u16::arbitrary(g) % 6;
        match u8::arbitrary(g) % 12 {
            0..4 => {
                let rare = |g: &mut Gen| u8::arbitrary(g) % 5 == 0;
                Step::Announce { server, restart: rare(g), leaving: rare(g) }
            }
            4 => Step::Repeat { announcement: u8::arbitrary(g) },
            5 | 6 => Step::Wait { ms: u64::arbitrary(g) % 2_000 },
            7 => Step::Drain { rack: server },
            _ => Step::Sync { entry: usize::arbitrary(g) % 3 },
        }
    }
}

/// The server list of an entry.
#[derive(Default, Clone)]
struct Entry {
    revision: Option<control::Revision>,
    servers: IndexMap<id::Incarnation, control::Server>,
}

impl Entry {
    fn sync(&mut self, now: u64, registry: &Registry) {
        let change = registry.changes_since(now, self.revision);
        if change.full {
            self.servers.clear();
        }
        for removed in change.removed {
            self.servers.swap_remove(&removed);
        }
        self.servers.extend(change.changed.into_iter().map(|s| (s.incarnation, s)));
        self.revision = Some(change.revision);
    }
}

fn sorted<'a>(servers: impl Iterator<Item = &'a control::Server>) -> Vec<control::Server> {
    let mut list: Vec<_> = servers.cloned().collect();
    list.sort_by_key(|s| s.incarnation);
    list
}

/// Guards against deltas after which an entry's list differs from the full list, whatever the entry
/// had before, and against two incarnations at one address.
#[test]
fn deltas_lead_to_the_full_list() {
    fn agrees(steps: Vec<Step>) -> bool {
        let mut now = 10_000;
        let mut registry = Registry::new(now - LEASE_MS - 1, 3);
        let mut incarnations = [0; 6];
        let mut announced = Vec::new();
        // No rack has the number 9, so none is drained at first.
        let mut drained_rack = 9;
        let mut entries = vec![Entry::default(); 3];
        for (index, step) in steps.iter().enumerate() {
            match *step {
                Step::Announce { server: number, restart, leaving } => {
                    let incarnation = &mut incarnations[number as usize];
                    if restart || *incarnation == 0 {
                        *incarnation = index as u64 + 1;
                    }
                    let mut server = server(*incarnation, number);
                    if leaving {
                        server.state = control::ServerState::Draining;
                    }
                    registry.announce(now, &server, number % 3 == drained_rack);
                    announced.push(server);
                }
                Step::Repeat { announcement } if !announced.is_empty() => {
                    let server = &announced[announcement as usize % announced.len()];
                    registry.announce(now, server, false);
                }
                Step::Repeat { .. } => {}
                Step::Wait { ms } => {
                    now += ms;
                    registry.expire(now);
                }
                Step::Drain { rack } => {
                    drained_rack = rack % 4;
                    let rack = format!("r{drained_rack}");
                    registry.update_drained(|s| s.rack == rack);
                }
                Step::Sync { entry } => entries[entry].sync(now, &registry),
            }
            let mut addrs: Vec<_> = registry.servers().map(|s| s.addr).collect();
            addrs.sort();
            addrs.dedup();
            assert_eq!(addrs.len(), registry.len());
        }
        entries.iter_mut().for_each(|e| e.sync(now, &registry));
        entries.iter().all(|e| sorted(e.servers.values()) == sorted(registry.servers()))
    }
    QuickCheck::new().tests(1_000).quickcheck(agrees as fn(Vec<Step>) -> bool);
}

fn incarnations(registry: &Registry) -> Vec<u64> {
    registry.servers().map(|s| s.incarnation.0).collect()
}

/// Guards against a restarted backend server that is not listed until the lease of its former
/// incarnation lapses, and against a delayed announcement that brings the former one back.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut registry = Registry::new(0, 1);
    registry.announce(0, &server(1, 1), false);
    registry.announce(100, &server(2, 1), false);
    assert_eq!(incarnations(&registry), [2]);
    registry.announce(200, &server(1, 1), false);
    assert_eq!(incarnations(&registry), [2]);
    // The incarnation that keeps announcing itself is the running one, whichever arrived first.
    registry.announce(101 + SUCCESSOR_TRUSTED_MS, &server(1, 1), false);
    assert_eq!(incarnations(&registry), [1]);
}

/// Guards against servers that stay listed after their lease, and against leases that lapse while
/// the leader is stopped.
#[test]
fn servers_lapse_after_a_lease() {
    let mut registry = Registry::new(0, 1);
    registry.announce(0, &server(1, 1), false);
    registry.announce(1, &server(2, 2), false);
    assert_eq!(registry.expire(LEASE_MS).len(), 0);
    let lapsed = registry.expire(LEASE_MS + 1);
    assert_eq!(sorted(lapsed.iter()), [server(1, 1)]);
    registry.renew_all(20_000);
    assert_eq!(registry.expire(20_000 + LEASE_MS).len(), 0);
}

/// Guards against entries that lose all backend servers when the leader changes, and against
/// deltas from a revision that is older than the log of changes.
#[test]
fn full_list_after_first_lease_or_unknown_revision() {
    let mut registry = Registry::new(0, 2);
    registry.announce(10, &server(1, 1), false);
    let old = Some(control::Revision { term: 1, number: 40 });
    let early = registry.changes_since(LEASE_MS, old);
    assert_eq!((early.full, early.changed.len()), (false, 1));
    let late = registry.changes_since(LEASE_MS + 1, Some(early.revision));
    assert!(late.full);
    assert!(registry.changes_since(LEASE_MS + 1, old).full);
    assert!(registry.changes_since(LEASE_MS + 1, None).full);
    for n in 0..CHANGES_MAX as u64 {
        registry.announce(LEASE_MS, &server(2 + n, 2), false);
    }
    assert!(registry.changes_since(LEASE_MS + 1, Some(late.revision)).full);
    let held = registry.changes_since(LEASE_MS + 1, None).revision;
    registry.announce(LEASE_MS, &server(1_000_000, 3), false);
    let delta = registry.changes_since(LEASE_MS + 1, Some(held));
    assert_eq!((delta.full, delta.changed.len()), (false, 1));
}

/// Guards against fencing a session before a whole lease has passed since its last renewal, since
/// the start of the term or since a stall of the leader. Also guards against settling its jobs
/// while a sidecar may still hold a lease from before the fence.
#[test]
fn sessions_are_fenced_and_then_abandoned() {
    let epoch = id::Epoch(5);
    let none = Due::default();
    let fence = Due { fence: vec![epoch], abandon: Vec::new() };
    let mut leases = Leases::new(1_000);
    let mut now = 1_000;
    let mut poll_until =
        |leases: &mut Leases, until: u64, live: &[id::Epoch], fenced: &[id::Epoch]| {
            while now + 100 <= until {
                now += 100;
                let due = leases.poll(now, live, fenced);
                if due != Due::default() {
                    return Some((now, due));
                }
            }
            None
        };
    assert_eq!(poll_until(&mut leases, 3_000, &[epoch], &[]), None);
    leases.renew(3_000, epoch);
    let lapsed = 3_000 + LEASE_MS + 100;
    assert_eq!(poll_until(&mut leases, 9_000, &[epoch], &[]), Some((lapsed, fence.clone())));
    let seen = lapsed + 100;
    let abandon = Due { fence: Vec::new(), abandon: vec![epoch] };
    let settled = seen + LEASE_MS + ABANDON_MARGIN_MS + 100;
    assert_eq!(poll_until(&mut leases, 20_000, &[], &[epoch]), Some((settled, abandon)));

    let mut leases = Leases::new(0);
    assert_eq!(leases.poll(0, &[epoch], &[]), none);
    assert!(leases.stalled(LEASE_MS + 1));
    assert_eq!(leases.poll(LEASE_MS + 1, &[epoch], &[]), none);
    let mut now = LEASE_MS + 1;
    while now <= 2 * LEASE_MS {
        now += 500;
        assert_eq!(leases.poll(now.min(2 * LEASE_MS + 1), &[epoch], &[]), none);
    }
    assert_eq!(leases.poll(2 * LEASE_MS + 2, &[epoch], &[]), fence);
}
