//! The leased list of backend servers and the leases of sessions.

use briargauge::{
    coordination::{
        member::{CHANGES_MAX, LEASE_MS, SUCCESSOR_MS, Table},
        session::{Due, Leases, MARGIN_MS},
    },
    protocol::{id, job, wire::control},
};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen, QuickCheck};

pub fn member(incarnation: u64, at: u16) -> control::Member {
    control::Member {
        incarnation: id::Incarnation(incarnation),
        addr: ([127, 0, 0, 1], 7_000 + at).into(),
        data_centre: "Kurume".into(),
        rack: format!("r{}", at % 3),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::MemberState::Serving,
    }
}

#[derive(Debug, Clone, Copy)]
enum Act {
    Announce {
        at: u16,
        restart: bool,
        leaving: bool,
    },
    /// An announcement of an earlier incarnation arrives late.
    Late {
        which: u8,
    },
    Pass {
        ms: u64,
    },
    Drain {
        rack: u16,
    },
    Sync {
        holder: usize,
    },
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        let at = u16::arbitrary(g) % 6;
        match u8::arbitrary(g) % 12 {
            0..4 => {
                let rare = |g: &mut Gen| u8::arbitrary(g) % 5 == 0;
                Act::Announce { at, restart: rare(g), leaving: rare(g) }
            }
            4 => Act::Late { which: u8::arbitrary(g) },
            5 | 6 => Act::Pass { ms: u64::arbitrary(g) % 2_000 },
            7 => Act::Drain { rack: at },
            _ => Act::Sync { holder: usize::arbitrary(g) % 3 },
        }
    }
}

#[derive(Default, Clone)]
struct Holder {
    revision: Option<control::Revision>,
    members: IndexMap<id::Incarnation, control::Member>,
}

impl Holder {
    fn sync(&mut self, now: u64, table: &Table) {
        let change = table.since(now, self.revision);
        if change.full {
            self.members.clear();
        }
        for gone in change.removed {
            self.members.swap_remove(&gone);
        }
        self.members.extend(change.changed.into_iter().map(|m| (m.incarnation, m)));
        self.revision = Some(change.revision);
    }
}

fn list<'a>(members: impl Iterator<Item = &'a control::Member>) -> Vec<control::Member> {
    let mut list: Vec<_> = members.cloned().collect();
    list.sort_by_key(|m| m.incarnation);
    list
}

/// Guards against deltas that leave an entry with another list than the full one, whatever it
/// held, and against two incarnations at one address.
#[test]
fn deltas_equal_the_full_list() {
    fn agrees(acts: Vec<Act>) -> bool {
        let mut now = 10_000;
        let mut table = Table::new(now - LEASE_MS - 1, 3);
        let mut incarnations = [0; 6];
        let mut announced = Vec::new();
        let mut drained = 9;
        let mut holders = vec![Holder::default(); 3];
        for (step, act) in acts.iter().enumerate() {
            match *act {
                Act::Announce { at, restart, leaving } => {
                    let incarnation = &mut incarnations[at as usize];
                    if restart || *incarnation == 0 {
                        *incarnation = step as u64 + 1;
                    }
                    let mut member = member(*incarnation, at);
                    if leaving {
                        member.state = control::MemberState::Draining;
                    }
                    table.announce(now, &member, at % 3 == drained);
                    announced.push(member);
                }
                Act::Late { which } if !announced.is_empty() => {
                    table.announce(now, &announced[which as usize % announced.len()], false);
                }
                Act::Late { .. } => {}
                Act::Pass { ms } => {
                    now += ms;
                    table.expire(now);
                }
                Act::Drain { rack } => {
                    drained = rack % 4;
                    let rack = format!("r{drained}");
                    table.drain(|m| m.rack == rack);
                }
                Act::Sync { holder } => holders[holder].sync(now, &table),
            }
            let mut ports: Vec<_> = table.members().map(|m| m.addr).collect();
            ports.sort();
            ports.dedup();
            assert_eq!(ports.len(), table.len());
        }
        holders.iter_mut().for_each(|h| h.sync(now, &table));
        holders.iter().all(|h| list(h.members.values()) == list(table.members()))
    }
    QuickCheck::new().tests(1_000).quickcheck(agrees as fn(Vec<Act>) -> bool);
}

fn shown(table: &Table) -> Vec<u64> {
    table.members().map(|m| m.incarnation.0).collect()
}

/// Guards against a restarted backend server that stays hidden behind its former life until that
/// one's lease lapses, and against a delayed announcement that brings the former life back.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut table = Table::new(0, 1);
    table.announce(0, &member(1, 1), false);
    table.announce(100, &member(2, 1), false);
    assert_eq!(shown(&table), [2]);
    table.announce(200, &member(1, 1), false);
    assert_eq!(shown(&table), [2]);
    // The one that is heard of again and again is the living one, whatever arrived first.
    table.announce(101 + SUCCESSOR_MS, &member(1, 1), false);
    assert_eq!(shown(&table), [1]);
}

/// Guards against members that outlive their lease, or lose it while the leader was stopped.
#[test]
fn members_lapse_after_a_lease() {
    let mut table = Table::new(0, 1);
    table.announce(0, &member(1, 1), false);
    table.announce(1, &member(2, 2), false);
    assert_eq!(table.expire(LEASE_MS).len(), 0);
    let lapsed = table.expire(LEASE_MS + 1);
    assert_eq!(list(lapsed.iter()), [member(1, 1)]);
    table.forgive(20_000);
    assert_eq!(table.expire(20_000 + LEASE_MS).len(), 0);
}

/// Guards against entries that lose all backend servers when the leader changes, and against
/// deltas from a revision that the log of changes no longer reaches.
#[test]
fn full_lists() {
    let mut table = Table::new(0, 2);
    table.announce(10, &member(1, 1), false);
    let old = Some(control::Revision { term: 1, number: 40 });
    let early = table.since(LEASE_MS, old);
    assert_eq!((early.full, early.changed.len()), (false, 1));
    let late = table.since(LEASE_MS + 1, Some(early.revision));
    assert!(late.full);
    assert!(table.since(LEASE_MS + 1, old).full);
    assert!(table.since(LEASE_MS + 1, None).full);
    for n in 0..CHANGES_MAX as u64 {
        table.announce(LEASE_MS, &member(2 + n, 2), false);
    }
    assert!(table.since(LEASE_MS + 1, Some(late.revision)).full);
    let held = table.since(LEASE_MS + 1, None).revision;
    table.announce(LEASE_MS, &member(1_000_000, 3), false);
    let delta = table.since(LEASE_MS + 1, Some(held));
    assert_eq!((delta.full, delta.changed.len()), (false, 1));
}

/// Guards against fencing a session before a whole lease has passed since its last renewal, the
/// start of the term or a stall of the leader, and against settling its jobs while a sidecar may
/// still hold a lease from before the fence.
#[test]
fn sessions_are_fenced_and_then_abandoned() {
    let epoch = id::Epoch(5);
    let none = Due::default();
    let fence = Due { fence: vec![epoch], abandon: Vec::new() };
    let mut leases = Leases::new(1_000);
    let mut now = 1_000;
    let mut run = |leases: &mut Leases, until: u64, live: &[id::Epoch], fenced: &[id::Epoch]| {
        while now + 100 <= until {
            now += 100;
            let due = leases.poll(now, live, fenced);
            if due != Due::default() {
                return Some((now, due));
            }
        }
        None
    };
    assert_eq!(run(&mut leases, 3_000, &[epoch], &[]), None);
    leases.renew(3_000, epoch);
    let lapsed = 3_000 + LEASE_MS + 100;
    assert_eq!(run(&mut leases, 9_000, &[epoch], &[]), Some((lapsed, fence.clone())));
    let seen = lapsed + 100;
    let abandon = Due { fence: Vec::new(), abandon: vec![epoch] };
    let settled = seen + LEASE_MS + MARGIN_MS + 100;
    assert_eq!(run(&mut leases, 20_000, &[], &[epoch]), Some((settled, abandon)));

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
