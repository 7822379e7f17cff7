//! Whom a control instance asks for its group, and which changes of its members a leader chooses.

use std::net::SocketAddr;

use briargauge::{
    coordination::{
        consensus::Change,
        contact::Book,
        membership::{self, Monitor},
    },
    protocol::{
        id,
        wire::peer::{Hello, Id, Member, Purpose, Standing},
    },
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Member lists as the log yields them, from index 1 on.
fn listed(lists: &[Vec<Member>]) -> impl Iterator<Item = (u64, &[Member])> {
    lists.iter().enumerate().map(|(at, list)| (at as u64 + 1, list.as_slice()))
}

fn id(node: u64, disk: u64) -> Id {
    Id { node: id::Node(node), disk: id::Disk(disk) }
}

fn member(node: u64) -> Member {
    let at = addr(1_000 + node as u16);
    Member { id: id(node, 1), peer: at, client: at, voter: true }
}

/// Guards against the youngest former members being dropped for old ones that the log still lists.
#[test]
fn the_latest_former_members_are_kept() {
    let mut book = Book::default();
    let mut lists: Vec<Vec<Member>> = Vec::new();
    for first in 1..=40_u64 {
        lists.push((first..first + 5).map(member).collect());
        book.update_members(first * 1_000, listed(&lists));
        let former = book.former(first * 1_000);
        let expected = (first.saturating_sub(16).max(1)..first).map(|n| member(n).peer);
        let missing: Vec<_> =
            expected.filter(|at| !former.iter().any(|(_, kept)| kept == at)).collect();
        assert!(missing.is_empty(), "after {first}: missing {missing:?}, kept {former:?}");
    }
}

/// Guards against former members that are contacted for longer than the limit after each change.
#[test]
fn a_former_member_is_contacted_for_the_limit_only() {
    let mut book = Book::default();
    let lists: Vec<Vec<Member>> =
        (1..=3).map(|first| (first..first + 5).map(member).collect()).collect();
    book.update_members(0, listed(&lists[..1]));
    book.update_members(0, listed(&lists[..2]));
    assert_eq!(book.former(0), [(id(1, 1), member(1).peer)]);
    assert!(book.former(700_000).is_empty());
    book.update_members(700_000, listed(&lists));
    assert_eq!(book.former(700_000), [(id(2, 1), member(2).peer)]);
}

fn standing(members: impl Iterator<Item = u64>) -> Standing {
    Standing {
        id: id(9, 9),
        cluster: Some(1),
        first_start: false,
        voters: Vec::new(),
        committed_voters: 3,
        members: members.map(|node| member(node).peer).collect(),
        leads: false,
        has_leader: false,
    }
}

/// Guards against answers that count as news for ever, each of which starts a round of introductions.
#[test]
fn answers_that_repeat_are_no_news() {
    let mut book = Book::default();
    let (one, two) = (standing(1..33), standing(30..37));
    let mut news = Vec::new();
    for _ in 0..10 {
        news.push(book.refer(addr(1), Some(1), &one));
        news.push(book.refer(addr(2), Some(1), &two));
    }
    assert!(news[2..].iter().all(|added| !added), "{news:?}");
}

fn seen(node: u64, disk: u64, voter: bool, responsive: bool) -> membership::Member {
    membership::Member { id: id(node, disk), voter, responsive, standby: !voter, leaving: false }
}

/// Guards against the removal of a voter for a learner that takes the place of another voter.
#[test]
fn a_new_disk_of_a_voter_replaces_no_other_voter() {
    let mut group = membership::Group::default();
    group.members.extend((1..=3).map(|node| seen(node, 1, true, true)));
    group.members.extend([seen(4, 1, true, false), seen(5, 1, true, false)]);
    let mut monitor = Monitor::new(0);
    assert_eq!(monitor.next_change(1_000, 5, &group), None);
    assert_eq!(monitor.next_change(2_600, 5, &group), None);
    group.members.push(seen(5, 2, false, true));
    let change = monitor.next_change(2_800, 5, &group);
    assert!(!matches!(change, Some(Change::Remove(removed)) if removed == id(4, 1)), "{change:?}");
}

/// Guards against a newcomer that waits for long behind two that cannot be reached, but introduce
/// themselves again as soon as they are removed.
#[test]
fn a_newcomer_is_not_kept_out_by_two_that_cannot_be_reached() {
    let hello = |node: u64| Hello {
        cluster: None,
        id: id(node, 1),
        peer: addr(node as u16),
        client: addr(node as u16),
        purpose: Purpose::Join,
    };
    let mut worst = (0, 0);
    for phase in 0..30_u64 {
        let mut monitor = Monitor::new(0);
        let mut group = membership::Group::default();
        group.members.extend((11..=14).map(|node| seen(node, 1, true, true)));
        group.members.push(seen(15, 1, true, false));
        let mut added: [Option<u64>; 4] = [None; 4];
        let mut applies: [Option<u64>; 4] = [None; 4];
        let mut joined = None;
        for now in (0..60_000_u64).step_by(10) {
            for node in 1..=3_u64 {
                let from = if node == 3 { 5_000 } else { 0 };
                let due = now >= from && (now + phase * 10 * node) % 300 == 0;
                if due && added[node as usize].is_none() {
                    applies[node as usize].get_or_insert(now);
                }
            }
            group.applicants = (1..=3_u64)
                .filter_map(|node| {
                    let waited_ms = now - applies[node as usize]?;
                    Some(membership::Applicant { hello: hello(node), waited_ms })
                })
                .collect();
            for member in group.members.iter_mut().filter(|m| !m.voter) {
                let since = added[member.id.node.0 as usize].unwrap();
                member.responsive = now < since + 600;
                member.standby = false;
            }
            match monitor.next_change(now, 5, &group) {
                Some(Change::Add(hello)) => {
                    let node = hello.id.node.0 as usize;
                    if node == 3 {
                        joined = Some(now);
                        break;
                    }
                    added[node] = Some(now);
                    applies[node] = None;
                    group.members.push(seen(node as u64, 1, false, true));
                }
                Some(Change::Remove(removed)) => {
                    added[removed.node.0 as usize] = None;
                    applies[removed.node.0 as usize] = None;
                    group.members.retain(|member| member.id != removed);
                }
                None => {}
            }
        }
        let waited = joined.map_or(u64::MAX, |at| at - 5_000);
        worst = worst.max((waited, phase));
    }
    assert!(worst.0 < 4_000, "waited for {} ms (phase {})", worst.0, worst.1);
}

/// Guards against a newcomer that is led into another system: an address to which a seed referred it is
/// used by an instance of that one now.
#[test]
fn a_referral_of_another_cluster_does_not_count() {
    let (seed, first) = (addr(1), member(10).peer);
    let mut book = Book::new(vec![seed]);
    assert!(book.refer(seed, None, &standing(10..12)));
    let other = Standing { cluster: Some(2), ..standing(20..22) };
    assert!(!book.refer(first, None, &other));
    assert!(!book.refer(first, Some(1), &other));
    assert!(book.refer(first, None, &standing(12..13)));
    assert!(!book.refer(addr(99), None, &standing(30..31)), "nobody named it");
    let known: Vec<SocketAddr> = [10, 11, 12].map(|node| member(node).peer).to_vec();
    assert_eq!(book.referred().collect::<Vec<_>>(), known);
}
