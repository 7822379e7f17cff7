//! One instance of a group of three, with the other two played by the test. These are the rules
//! whose breach drawn schedules hit too seldom.

use briargauge::{
    coordination::consensus::{InitialState, Instance, Role, Timing},
    protocol::{
        id,
        wire::peer::{Body, Entry, HardState, Id, Message, Payload, SnapshotMeta},
    },
};

use crate::world::{CLUSTER, member};

struct Lone {
    instance: Instance,
    now: u64,
}

fn id(node: u64) -> Id {
    Id { node: id::Node(node), disk: id::Disk(1 + node) }
}

impl Lone {
    /// Node 0 with durable entries of the given terms; the first names the members.
    fn new(terms: &[u64]) -> Lone {
        let mut entries = Vec::new();
        for (at, &term) in terms.iter().enumerate() {
            let payload = match at {
                0 => Payload::Members((0..3).map(|node| member(id(node), true)).collect()),
                _ => Payload::Empty,
            };
            entries.push(Entry { index: at as u64 + 1, term, payload });
        }
        let term = *terms.last().unwrap();
        let hard_state = HardState { cluster: Some(CLUSTER), term, vote: None };
        let (timing, base) = (Timing::default(), SnapshotMeta::default());
        let start = InitialState { id: id(0), hard_state, base, entries, timing, seed: 1 };
        Lone { instance: Instance::new(start, 0), now: 0 }
    }

    fn step(&mut self, from: u64, term: u64, body: Body) {
        let message = Message { cluster: CLUSTER, from: id(from), to: id(0), term, body };
        self.instance.step(self.now, message);
    }

    fn save(&mut self) -> Vec<Body> {
        let Some(save) = self.instance.take_save() else { return Vec::new() };
        self.instance.saved(self.now, save.mark);
        save.messages.into_iter().map(|message| message.body).collect()
    }

    /// What it sends at once.
    fn sent(&mut self) -> Vec<Body> {
        self.instance.take_output().messages.into_iter().map(|message| message.body).collect()
    }

    /// Makes it leader; its first entry is not durable yet.
    fn lead(&mut self) -> u64 {
        while self.instance.role() != Role::PreCandidate {
            self.now += 15;
            self.instance.tick(self.now);
        }
        let term = self.instance.term() + 1;
        self.step(1, term, Body::PreVoted { granted: true });
        self.save();
        self.step(1, term, Body::Voted { granted: true });
        assert_eq!(self.instance.role(), Role::Leader);
        term
    }

    /// Numbers of the messages with which it asks the others for an answer.
    fn asked(&mut self) -> u64 {
        let seqs = self.sent().into_iter().filter_map(|body| match body {
            Body::Append { seq, .. } => Some(seq),
            _ => None,
        });
        seqs.max().unwrap_or_default()
    }
}

/// Guards against a commit of an entry of an earlier term by counting copies: a later leader
/// without it may still be elected and replace it.
#[test]
fn earlier_terms_are_committed_only_with_an_entry_of_the_own_term() {
    let mut lone = Lone::new(&[1, 2]);
    let term = lone.lead();
    lone.save();
    let seq = lone.asked();
    lone.step(1, term, Body::Appended { seq, match_index: 2 });
    assert_eq!(lone.instance.commit_index(), 0);
    lone.step(1, term, Body::Appended { seq, match_index: 3 });
    assert_eq!(lone.instance.commit_index(), 3);
}

/// Guards against a commit that counts the leader's own copy before it is durable.
#[test]
fn the_own_copy_counts_only_once_durable() {
    let mut lone = Lone::new(&[1]);
    let term = lone.lead();
    let seq = lone.asked();
    lone.step(1, term, Body::Appended { seq, match_index: 2 });
    assert_eq!(lone.instance.commit_index(), 0);
    lone.save();
    assert_eq!(lone.instance.commit_index(), 2);
}

/// Guards against a read from a new leader that does not know yet what was committed before it.
#[test]
fn a_new_leader_passes_no_barrier_before_its_first_commit() {
    let mut lone = Lone::new(&[1, 2]);
    let term = lone.lead();
    lone.save();
    lone.instance.barrier(9).unwrap();
    let seq = lone.asked();
    lone.step(1, term, Body::Appended { seq, match_index: 2 });
    assert_eq!(lone.instance.take_output().barriers, []);
    lone.step(1, term, Body::Appended { seq, match_index: 3 });
    assert_eq!(lone.instance.take_output().barriers, [(9, Some(3))]);
}

/// Guards against a vote that a crash could make forgotten, and against a second vote in a term.
#[test]
fn a_vote_leaves_after_its_sync_and_once_a_term() {
    let mut lone = Lone::new(&[1]);
    lone.now = 1_000;
    let ask = Body::Vote { last_index: 1, last_term: 1, transfer: false };
    lone.step(1, 5, ask.clone());
    assert_eq!(lone.sent(), []);
    assert_eq!(lone.save(), [Body::Voted { granted: true }]);
    lone.step(2, 5, ask);
    assert_eq!(lone.save(), [Body::Voted { granted: false }]);
}

/// Guards against an acknowledgement of replaced entries by the sync of those before them.
#[test]
fn replaced_entries_are_not_taken_for_durable() {
    let mut lone = Lone::new(&[1, 1, 1]);
    let entry = Entry { index: 2, term: 2, payload: Payload::Empty };
    let append = |seq, prev_index, prev_term, entries| Body::Append {
        seq,
        prev_index,
        prev_term,
        entries,
        commit_index: 0,
    };
    lone.step(1, 2, append(1, 3, 1, Vec::new()));
    lone.save();
    lone.sent();
    lone.step(1, 2, append(2, 1, 1, vec![entry]));
    assert_eq!(lone.sent(), []);
    lone.step(1, 2, append(3, 2, 2, Vec::new()));
    assert_eq!(lone.sent(), [Body::Appended { seq: 3, match_index: 1 }]);
    assert_eq!(lone.save(), [Body::Appended { seq: 2, match_index: 2 }]);
}
