//! Three control instances.

use briargauge::{
    daemon::Process,
    protocol::wire::control::{Admission, Changed, Refusal, VoterChange},
};

use crate::calls::{Instance, admit, change, entry_sync, hello, key, until};

async fn three() -> Vec<Instance> {
    let first = Instance::alone().await;
    let peers = [first.control.listening().peer.expect("control listens for its peers")];
    let mut instances = vec![first];
    for node in 2..=3 {
        let instance = Instance::blank(node, &peers).await;
        let addr = instance.control.listening().peer.expect("control listens for its peers");
        // Refused until the new instance has introduced itself.
        until(async || instances[0].client.change_voters(VoterChange::Add { addr }).await.ok())
            .await;
        instances.push(instance);
        until(async || {
            let voters = instances[0].client.status().await.voters;
            (voters.iter().filter(|v| v.votes).count() == node as usize).then_some(())
        })
        .await;
    }
    instances
}

/// Guards against a planned stop that loses sessions, admissions or answers to operators, and
/// against an instance that answers without leading.
#[actix_rt::test]
async fn a_stopping_leader_hands_over() {
    let mut instances = three().await;
    let first = instances.remove(0);
    let session = first.client.register(hello(1)).await.expect("registered");
    let admitted = first.client.admit(admit(session.epoch, 1, "a")).await.expect("admitted");
    let winner = change("c-1", "kana", 0, "team a share 1 # kana: r\n");
    let loser = change("c-2", "emi", 0, "team a share 2 # emi: r\n");
    let accepted = first.client.change_rules(winner.clone()).await;
    let conflict = first.client.change_rules(loser.clone()).await;
    assert_eq!(accepted, Ok(Changed::Accepted { version: 1 }));
    assert_eq!(conflict, Ok(Changed::Conflict { version: 1, winner: "kana".into() }));

    let leader = until(async || match instances[0].client.lookup(key("a")).await {
        Err(Refusal::NotLeader { leader }) => leader,
        other => panic!("{other:?}"),
    })
    .await;
    assert_eq!(leader, first.client.addr());
    assert_eq!(first.control.stop().await, 0);

    let client = until(async || {
        for instance in &instances {
            if instance.client.lookup(key("a")).await.is_ok() {
                return Some(&instance.client);
            }
        }
        None
    })
    .await;
    assert!(client.sync_entry(entry_sync(session.epoch, 1)).await.is_ok());
    assert_eq!(client.admit(admit(session.epoch, 1, "a")).await, Ok(admitted));
    assert_eq!(client.change_rules(winner).await, accepted);
    assert_eq!(client.change_rules(loser).await, conflict);
    let known = client.lookup(key("a")).await;
    assert!(matches!(known, Ok(Admission::Running { .. })), "{known:?}");
    for instance in instances {
        instance.control.stop().await;
    }
}
