//! A simulated cluster of instances. The test controls network, disks, clock and faults, and the
//! invariants are checked after every step.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use briargauge::{
    coordination::consensus::{Change, InitialState, Instance, Mark, Role, Save, Timing},
    protocol::{
        id,
        wire::peer::{
            Body, Entry, HardState, Hello, Id, Member, Message, Payload, Purpose, SnapshotMeta,
        },
    },
    state::snapshot::Snapshot,
};
use bytes::Bytes;

pub const CLUSTER: u64 = 77;
/// Step of the simulated clock.
pub const TICK_MS: u64 = 15;

/// A simulated data directory.
#[derive(Clone)]
pub struct Disk {
    pub id: Id,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Disk {
    fn new(id: Id) -> Disk {
        Disk { id, hard_state: HardState::default(), snapshot: None, entries: Vec::new() }
    }

    fn base(&self) -> SnapshotMeta {
        self.snapshot.as_ref().map_or_else(SnapshotMeta::default, |s| s.meta.clone())
    }

    fn store(&mut self, save: &Save) {
        if let Some(snapshot) = &save.install {
            self.snapshot = Some(snapshot.clone());
            self.entries.clear();
        }
        self.hard_state = save.hard_state.unwrap_or(self.hard_state);
        for entry in &save.entries {
            self.entries.retain(|e| e.index < entry.index);
            self.entries.push(entry.clone());
        }
    }

    /// Member lists that are stored for indexes from `from` on.
    fn member_lists(&self, from: u64) -> Vec<Vec<Member>> {
        let base = Some(self.base()).filter(|base| base.index >= from);
        [member_lists_in(&self.entries, from), base.into_iter().map(|base| base.members).collect()]
            .concat()
    }
}

/// The place of one instance: its data directory and, unless crashed, the running instance.
pub struct Slot {
    pub disk: Disk,
    /// `None` while crashed.
    pub instance: Option<Instance>,
    /// Whether the machine is gone for good.
    gone: bool,
    /// Instances that have sent this one a message since its start.
    pub heard: BTreeSet<usize>,
    frozen: bool,
    /// Whether the disk refuses writes.
    full: bool,
    /// Whether a save has failed and has not succeeded since. The instance then takes no part in
    /// the protocol.
    failing: bool,
    /// Save that is not finished yet.
    saving: Option<Save>,
    /// Index of the last applied entry, and a digest of all applied entries.
    pub applied: (u64, u64),
    /// Uncommitted proposals by index and term.
    proposals: BTreeSet<(u64, u64)>,
    /// Unconfirmed barriers, each with the highest index acknowledged when it was requested.
    barriers: BTreeMap<u64, u64>,
}

impl Slot {
    fn new(id: Id) -> Slot {
        Slot {
            disk: Disk::new(id),
            instance: None,
            gone: false,
            heard: BTreeSet::new(),
            frozen: false,
            full: false,
            failing: false,
            saving: None,
            applied: (0, 0),
            proposals: BTreeSet::new(),
            barriers: BTreeMap::new(),
        }
    }
}

/// A cluster of instances with its network, and the facts that the invariants are checked against.
pub struct Simulation {
    pub now: u64,
    /// Whether every instance without a leader introduces itself to all others.
    pub introduces: bool,
    pub slots: Vec<Slot>,
    network: VecDeque<Message>,
    /// Directions, from one instance to another, in which messages are dropped.
    cuts: BTreeSet<(usize, usize)>,
    /// Source of unique numbers.
    next: u64,
    /// Digest after each committed index, as computed by the first instance that applied it.
    committed: BTreeMap<u64, u64>,
    /// The leader of each term.
    leaders: BTreeMap<u64, Id>,
    /// Highest acknowledged index.
    pub acknowledged: u64,
    pub barriers_passed: u64,
    /// Members whose data directory was lost or has got a new disk id.
    lost_ids: BTreeSet<Id>,
    /// Index of the last committed membership entry.
    committed_members_index: u64,
}

impl Simulation {
    /// Starts a cluster of `count` voters.
    pub fn new(count: usize, seed: u64) -> Simulation {
        let id = |node: usize| Id { node: id::Node(node as u64), disk: id::Disk(1 + node as u64) };
        let mut sim = Simulation {
            now: 0,
            introduces: true,
            slots: (0..count).map(|node| Slot::new(id(node))).collect(),
            network: VecDeque::new(),
            cuts: BTreeSet::new(),
            next: 1_000 + (seed << 32),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: 0,
            barriers_passed: 0,
            lost_ids: BTreeSet::new(),
            committed_members_index: 0,
        };
        let members = sim.slots.iter().map(|slot| member(slot.disk.id, true)).collect();
        let first = Entry { index: 1, term: 1, payload: Payload::Members(members) };
        for at in 0..count {
            let disk = &mut sim.slots[at].disk;
            disk.hard_state = HardState { cluster: Some(CLUSTER), term: 1, vote: None };
            disk.entries = vec![first.clone()];
            sim.restart(at);
        }
        sim
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |slot: &Slot| {
            let instance = slot.instance.as_ref()?;
            (instance.role() == Role::Leader).then(|| instance.term())
        };
        let leaders = (0..self.slots.len()).filter(|at| term(&self.slots[*at]).is_some());
        leaders.max_by_key(|at| term(&self.slots[*at]))
    }

    pub fn term(&self, at: usize) -> u64 {
        self.slots[at].instance.as_ref().map_or(0, Instance::term)
    }

    pub fn restart(&mut self, at: usize) {
        let seed = self.next_number();
        let now = self.now;
        let slot = &mut self.slots[at];
        if slot.instance.is_some() || slot.gone {
            return;
        }
        let start = InitialState {
            id: slot.disk.id,
            hard_state: slot.disk.hard_state,
            base: slot.disk.base(),
            entries: slot.disk.entries.clone(),
            timing: Timing::default(),
            seed,
        };
        slot.applied = slot.disk.snapshot.as_ref().map_or((0, 0), applied_state);
        slot.instance = Some(Instance::new(start, now));
        slot.frozen = false;
        self.process_output(at);
    }

    /// Crashes an instance. An unfinished save is either stored or lost as a whole.
    pub fn crash(&mut self, at: usize, stored: bool) {
        let slot = &mut self.slots[at];
        if let Some(save) = slot.saving.take()
            && stored
        {
            slot.disk.store(&save);
        }
        slot.instance = None;
        slot.heard.clear();
        slot.failing = false;
        slot.proposals.clear();
        slot.barriers.clear();
    }

    /// Replaces the data directory of an instance by an empty one, unless that would destroy the
    /// majority of a member list that may still be in force. Returns whether it did.
    pub fn lose_disk(&mut self, at: usize) -> bool {
        let id = self.slots[at].disk.id;
        let gone = |m: &Member| m.id == id || self.lost_ids.contains(&m.id);
        let survives = |members: &Vec<Member>| {
            let voters = members.iter().filter(|m| m.voter).count();
            let left = members.iter().filter(|m| m.voter && !gone(m)).count();
            voters == 0 || left > voters / 2
        };
        // Member lists before the last committed one can no longer elect a leader.
        let from = self.committed_members_index;
        let memory = self.slots.iter().filter_map(|s| s.instance.as_ref());
        let current = memory.filter(|i| i.last_index() >= from);
        let mut member_lists: Vec<Vec<Member>> = current.map(|i| i.members().to_vec()).collect();
        member_lists.extend(self.slots.iter().flat_map(|slot| slot.disk.member_lists(from)));
        member_lists.extend(self.network.iter().flat_map(|message| match &message.body {
            Body::Append { entries, .. } => member_lists_in(entries, from),
            Body::Snapshot { meta, .. } if meta.index >= from => vec![meta.members.clone()],
            _ => Vec::new(),
        }));
        if !member_lists.iter().all(survives) {
            return false;
        }
        self.wipe(at);
        self.restart(at);
        true
    }

    /// Crashes an instance and replaces its data directory by an empty one.
    pub fn wipe(&mut self, at: usize) {
        let id = self.slots[at].disk.id;
        self.lost_ids.insert(id);
        self.crash(at, false);
        let disk = id::Disk(self.next_number());
        self.slots[at].disk = Disk::new(Id { node: id.node, disk });
    }

    /// Ends an instance and its machine for good.
    pub fn remove(&mut self, at: usize) {
        self.crash(at, false);
        self.slots[at].gone = true;
        self.lost_ids.insert(self.slots[at].disk.id);
    }

    pub fn is_gone(&self, at: usize) -> bool {
        self.slots[at].gone
    }

    /// Starts an empty instance on another machine. Returns its position.
    pub fn add(&mut self) -> usize {
        let at = self.slots.len();
        let disk = id::Disk(self.next_number());
        self.slots.push(Slot::new(Id { node: id::Node(at as u64), disk }));
        self.restart(at);
        at
    }

    /// Replaces the data directory of an instance by an older copy.
    pub fn restore(&mut self, at: usize, copy: Disk) {
        self.crash(at, false);
        self.slots[at].disk = copy;
        self.restart(at);
    }

    pub fn freeze(&mut self, at: usize, frozen: bool) {
        self.slots[at].frozen = frozen;
        self.process_output(at);
    }

    /// Drops all further messages from `from` to `to`.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    pub fn isolate(&mut self, at: usize) {
        for other in 0..self.slots.len() {
            self.cuts.extend([(at, other), (other, at)]);
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.heal();
        for at in 0..self.slots.len() {
            self.slots[at].frozen = false;
            self.slots[at].full = false;
            self.restart(at);
        }
    }

    /// Makes the disk of an instance full, or gives it room again.
    pub fn set_full(&mut self, at: usize, full: bool) {
        self.slots[at].full = full;
    }

    /// Proposes a unique command at an instance. Returns whether the instance accepted it.
    pub fn propose(&mut self, at: usize) -> bool {
        let value = self.next_number();
        let Some(instance) = self.running(at) else { return false };
        let proposed = instance.propose(Bytes::from(value.to_le_bytes().to_vec()));
        let accepted = proposed.is_ok();
        self.slots[at].proposals.extend(proposed.ok());
        self.process_output(at);
        accepted
    }

    pub fn barrier(&mut self, at: usize) {
        let token = self.next_number();
        let acknowledged = self.acknowledged;
        let Some(instance) = self.running(at) else { return };
        if instance.barrier(token).is_ok() {
            self.slots[at].barriers.insert(token, acknowledged);
        }
        self.process_output(at);
    }

    pub fn transfer(&mut self, at: usize) {
        let now = self.now;
        let Some(instance) = self.running(at) else { return };
        let _ = instance.transfer_leadership(now);
        self.process_output(at);
    }

    /// Removes the member at `target`, or adds it if it is not a member. A removal is skipped if it
    /// would leave too few voters with their data directory: no cluster survives that.
    pub fn change(&mut self, at: usize, target: usize) {
        let id = self.slots[target].disk.id;
        let Some(instance) = &mut self.slots[at].instance else { return };
        let present = instance.members().iter().any(|m| m.id == id);
        let rest = instance.members().iter().filter(|m| m.voter && m.id != id);
        let rest: Vec<Id> = rest.map(|m| m.id).collect();
        let left = rest.iter().filter(|id| !self.lost_ids.contains(id)).count();
        let hello = hello(id, Some(CLUSTER));
        let _ = match present {
            true if rest.len() < 2 || left <= rest.len() / 2 => return,
            true => instance.change(Change::Remove(id)),
            false => instance.change(Change::Add(hello)),
        };
        self.process_output(at);
    }

    pub fn compact(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        let Some(instance) = &mut slot.instance else { return };
        let (index, digest) = slot.applied;
        let old = slot.disk.snapshot.as_ref().map_or(0, |s| s.meta.index);
        // The snapshot must not cover entries of an unfinished save.
        if index <= old || slot.saving.is_some() || slot.full {
            return;
        }
        let Some(meta) = instance.meta(index) else { return };
        slot.disk.entries.retain(|e| e.index > index);
        let data = [index.to_le_bytes(), digest.to_le_bytes()].concat();
        slot.disk.snapshot = Some(Snapshot { meta, data: Bytes::from(data) });
        instance.compact(index.saturating_sub(2));
    }

    pub fn running(&mut self, at: usize) -> Option<&mut Instance> {
        let slot = &mut self.slots[at];
        slot.instance.as_mut().filter(|_| !slot.frozen && !slot.failing)
    }

    /// Finishes the current save of an instance, or fails it if the disk is full.
    pub fn sync(&mut self, at: usize) {
        let now = self.now;
        let slot = &mut self.slots[at];
        if slot.frozen {
            return;
        }
        if slot.full {
            self.fail_save(at);
            let slot = &mut self.slots[at];
            slot.failing = slot.saving.is_some();
            return;
        }
        slot.failing = false;
        if let Some(save) = slot.saving.take() {
            slot.disk.store(&save);
            if let Some(snapshot) = &save.install {
                slot.applied = applied_state(snapshot);
            }
            let mark: Mark = save.mark;
            slot.instance.as_mut().expect("crashes drop saves").saved(now, mark);
            self.send(save.messages);
        }
        self.process_output(at);
    }

    /// Fails the current save of an instance, which will be repeated.
    pub fn fail_save(&mut self, at: usize) {
        let now = self.now;
        if self.slots[at].saving.is_some()
            && let Some(instance) = self.running(at)
        {
            instance.storage_failed(now);
            self.process_output(at);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let (from, to) = (message.from.node.0 as usize, message.to.node.0 as usize);
            if !self.cuts.contains(&(from, to)) {
                self.network.push_back(message);
            }
        }
    }

    /// Removes the message at a position and delivers it unless `dropped`. If `duplicated`, a copy
    /// stays in the network.
    pub fn deliver(&mut self, position: usize, dropped: bool, duplicated: bool) {
        if self.network.is_empty() {
            return;
        }
        let position = position % self.network.len();
        let Some(message) = self.network.remove(position) else { return };
        if duplicated {
            self.network.push_back(message.clone());
        }
        if !dropped {
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        let at = message.to.node.0 as usize;
        if self.slots[at].frozen {
            return self.network.push_back(message);
        }
        if self.slots[at].failing {
            return self.refuse(&message);
        }
        let from = message.from.node.0 as usize;
        if let Some(instance) = self.running(at) {
            instance.step(now, message).expect("instances send no malformed messages");
            self.slots[at].heard.insert(from);
            self.process_output(at);
        }
    }

    /// Drops a message to an instance that cannot store anything. The sender of a snapshot is told.
    fn refuse(&mut self, message: &Message) {
        let from = message.from.node.0 as usize;
        if matches!(message.body, Body::Snapshot { .. })
            && let Some(sender) = &mut self.slots[from].instance
        {
            sender.snapshot_transfer_failed(message.to);
        }
    }

    /// Advances the clock by `ms` with a working network, except for cuts, and working disks.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            let now = self.now;
            for at in 0..self.slots.len() {
                if let Some(instance) = self.running(at) {
                    instance.tick(now);
                    self.process_output(at);
                }
            }
            // Two rounds, so that a request and its reply fit into one tick.
            for _ in 0..2 {
                for _ in 0..self.network.len() {
                    if let Some(message) = self.network.pop_front() {
                        self.receive(message);
                    }
                }
                (0..self.slots.len()).for_each(|at| self.sync(at));
            }
            if self.introduces {
                self.send_introductions();
            }
        }
    }

    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&mut Simulation) -> bool) {
        for _ in 0..1_000 {
            if condition(self) {
                return;
            }
            self.run(TICK_MS);
        }
        panic!("not within 15 s: {what}\n{}", self.describe());
    }

    /// Runs until a leader has committed a proposal. Returns the leader.
    pub fn wait_for_leader(&mut self) -> usize {
        self.acknowledge();
        self.leader().expect("it just acknowledged")
    }

    /// Runs until one more proposal is acknowledged.
    pub fn acknowledge(&mut self) {
        let before = self.acknowledged;
        self.run_until("a leader commits", |sim| {
            let Some(leader) = sim.leader() else { return false };
            sim.propose(leader);
            sim.run(2 * TICK_MS);
            sim.acknowledged > before
        });
    }

    pub fn members(&self, at: usize) -> &[Member] {
        self.slots[at].instance.as_ref().map_or(&[], Instance::members)
    }

    /// Whether every running instance lists the member `id` as a voter, has as many voters as there
    /// are instances, and has no uncommitted entry.
    pub fn is_voter_everywhere(&self, id: Id) -> bool {
        let running = self.slots.iter().filter_map(|slot| slot.instance.as_ref());
        let voters = |i: &Instance| i.members().iter().filter(|m| m.voter).count();
        running.clone().all(|i| i.members().iter().any(|m| m.id == id && m.voter))
            && running
                .clone()
                .all(|i| i.commit_index() == i.last_index() && voters(i) == self.slots.len())
    }

    pub fn describe(&self) -> String {
        let line = |slot: &Slot| match &slot.instance {
            Some(i) => format!(
                "{:?} {:?} term={} commit={} last={} applied={} members={:?}\n",
                i.id(),
                i.role(),
                i.term(),
                i.commit_index(),
                i.last_index(),
                slot.applied.0,
                i.members().iter().map(|m| (m.id, m.voter)).collect::<Vec<_>>()
            ),
            None => format!("{:?} down\n", slot.disk.id),
        };
        self.slots.iter().map(line).collect()
    }

    fn send_introductions(&mut self) {
        for from in 0..self.slots.len() {
            let Some(instance) = self.running(from) else { continue };
            if instance.leader().is_some() {
                continue;
            }
            let hello = hello(instance.id(), instance.cluster());
            for to in 0..self.slots.len() {
                if to != from
                    && !self.cuts.contains(&(from, to))
                    && let Some(instance) = self.running(to)
                {
                    instance.hello(hello);
                }
            }
        }
    }

    /// Carries out the actions that an instance returns and checks the invariants.
    pub fn process_output(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        let Some(instance) = slot.instance.as_mut().filter(|_| !slot.frozen) else { return };
        let output = instance.take_output();
        let (term, leads) = (instance.term(), instance.role() == Role::Leader);
        if leads {
            let leader = *self.leaders.entry(term).or_insert(instance.id());
            assert_eq!(leader, instance.id(), "two leaders in term {term}");
        } else {
            slot.proposals.clear();
        }
        if slot.saving.is_none() {
            slot.saving = instance.take_save();
        }
        for entry in output.committed {
            let (index, digest) = slot.applied;
            assert_eq!(entry.index, index + 1, "entries are applied without gaps");
            slot.applied = (entry.index, digest_after(digest, &entry));
            let known = *self.committed.entry(entry.index).or_insert(slot.applied.1);
            assert_eq!(known, slot.applied.1, "committed entry {} changed", entry.index);
            if matches!(entry.payload, Payload::Members(_)) {
                self.committed_members_index = self.committed_members_index.max(entry.index);
            }
            if slot.proposals.remove(&(entry.index, entry.term)) {
                self.acknowledged = self.acknowledged.max(entry.index);
            }
        }
        for (token, confirmed) in output.barriers {
            let Some(needed) = slot.barriers.remove(&token) else { continue };
            if let Some(index) = confirmed {
                assert!(
                    index >= needed,
                    "a read at index {index} misses the acknowledged index {needed}"
                );
                self.barriers_passed += 1;
            }
        }
        let mut snapshots = Vec::new();
        for mut head in output.snapshots {
            let stored =
                slot.disk.snapshot.clone().expect("entries are compacted only after a snapshot");
            if let Body::Snapshot { meta, data, .. } = &mut head.body {
                (*meta, *data) = (stored.meta, stored.data);
            }
            snapshots.push(head);
        }
        if output.renew_disk_id {
            slot.disk.id.disk = id::Disk(self.next + 500_000);
            self.next += 1;
            self.lost_ids.insert(instance.id());
            instance.disk_renewed(slot.disk.id);
        }
        self.send(output.messages);
        self.send(snapshots);
    }

    /// Ends all faults and checks that the cluster works again and that all instances agree.
    pub fn check_recovery(&mut self) {
        self.end_faults();
        self.acknowledge();
        let (index, passed) = (self.acknowledged, self.barriers_passed);
        self.run_until("members have caught up and lost directories are replaced", |sim| {
            let Some(leader) = sim.leader() else { return false };
            let instance = sim.slots[leader].instance.as_ref().expect("it leads");
            let members = instance.members().to_vec();
            let holds = |m: &Member| {
                let slot = &sim.slots[m.id.node.0 as usize];
                m.voter && slot.disk.id == m.id && slot.applied.0 >= index
            };
            members.iter().all(holds)
        });
        self.run_until("a barrier passes", |sim| {
            if let Some(leader) = sim.leader() {
                sim.barrier(leader);
            }
            sim.barriers_passed > passed
        });
    }
}

/// Member lists in the entries from index `from` on.
fn member_lists_in(entries: &[Entry], from: u64) -> Vec<Vec<Member>> {
    let members = entries.iter().filter_map(|e| match &e.payload {
        Payload::Members(members) if e.index >= from => Some(members.clone()),
        _ => None,
    });
    members.collect()
}

fn applied_state(snapshot: &Snapshot) -> (u64, u64) {
    let number = |at: usize| u64::from_le_bytes(snapshot.data[at..at + 8].try_into().unwrap());
    (number(0), number(8))
}

fn digest_after(digest: u64, entry: &Entry) -> u64 {
    let bytes = postcard::to_stdvec(entry).unwrap();
    let step = u64::from(crc32fast::hash(&bytes)) << 32 | entry.index;
    (digest ^ step).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

pub fn addr(id: Id) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + id.node.0 as u16))
}

pub fn member(id: Id, voter: bool) -> Member {
    Member { id, peer: addr(id), client: addr(id), voter }
}

pub fn hello(id: Id, cluster: Option<u64>) -> Hello {
    Hello { cluster, id, peer: addr(id), client: addr(id), purpose: Purpose::Join }
}
