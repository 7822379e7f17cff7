//! Clusters of control instances.

use std::time::Duration;

use briargauge::{
    client,
    daemon::Process,
    protocol::wire::control::{Admission, Changed, MemberChange, Refusal, Role, ServiceClient},
};

use crate::{
    calls::{Client, Instance, LIMIT, admit, change, entry_sync, hello, key, until},
    registry, sidecar_sync,
};

/// Makes a call to the instance that leads. It tries the instances in turn until one answers,
/// because on a busy machine leadership may change at any time.
async fn call_leader<T>(
    instances: &[Instance],
    call: impl AsyncFn(&Client) -> Result<T, Refusal>,
) -> T {
    until(async || {
        for instance in instances {
            match call(&instance.client).await {
                Ok(answer) => return Some(answer),
                Err(Refusal::Fenced) => panic!("the session was fenced"),
                Err(_) => {}
            }
        }
        None
    })
    .await
}

/// Starts three instances and makes all of them voters of one cluster.
async fn three_voters() -> Vec<Instance> {
    let mut instances = vec![Instance::alone().await];
    for node in 2..=3 {
        let peers = instances.iter().filter_map(|i| i.control.listening().peer);
        let instance = Instance::blank(node, &peers.collect::<Vec<_>>()).await;
        let addr = instance.control.listening().peer.expect("control listens for its peers");
        // The change is refused until the new instance has introduced itself.
        call_leader(&instances, async |c| c.change_members(MemberChange::Add { addr }).await).await;
        instances.push(instance);
        until(async || {
            let members = instances[0].client.status().await.members;
            (members.iter().filter(|m| m.votes).count() == node as usize).then_some(())
        })
        .await;
    }
    instances
}

/// Guards against a planned stop that loses sessions, admissions or answers to operators, and
/// against an instance that answers calls although it does not lead.
#[actix_rt::test]
async fn a_stopping_leader_loses_nothing() {
    let mut instances = three_voters().await;
    let epoch = call_leader(&instances, async |c| c.register(hello(1)).await).await.epoch;
    let admitted = call_leader(&instances, async |c| c.admit(admit(epoch, 1, "a")).await).await;
    let winner = change("c-1", "kana", 0, "team a share 1 # kana: r\n");
    let loser = change("c-2", "emi", 0, "team a share 2 # emi: r\n");
    let accepted = call_leader(&instances, async |c| c.change_rules(winner.clone()).await).await;
    let conflict = call_leader(&instances, async |c| c.change_rules(loser.clone()).await).await;
    assert_eq!(accepted, Changed::Accepted { version: 1 });
    assert_eq!(conflict, Changed::Conflict { version: 1, winner: "kana".into() });

    let leader = until(async || {
        let mut roles = Vec::new();
        for instance in &instances {
            roles.push(instance.client.status().await.role);
        }
        let leader = roles.iter().position(|role| *role == Role::Leader)?;
        let follower = &instances[(leader + 1) % 3].client;
        match follower.lookup(key("a")).await {
            Err(Refusal::NotLeader { leader: Some(named) }) => {
                (named == instances[leader].client.addr()).then_some(leader)
            }
            _ => None,
        }
    })
    .await;
    assert_eq!(instances.remove(leader).control.stop().await, 0);

    call_leader(&instances, async |c| c.sync_entry(entry_sync(epoch, 1)).await).await;
    assert_eq!(
        call_leader(&instances, async |c| c.admit(admit(epoch, 1, "a")).await).await,
        admitted
    );
    let again = call_leader(&instances, async |c| c.change_rules(winner.clone()).await).await;
    assert_eq!(again, accepted);
    let again = call_leader(&instances, async |c| c.change_rules(loser.clone()).await).await;
    assert_eq!(again, conflict);
    let known = call_leader(&instances, async |c| c.lookup(key("a")).await).await;
    assert!(matches!(known, Admission::Running { .. }), "{known:?}");
    for instance in instances {
        instance.control.stop().await;
    }
}

/// Guards against a task that runs twice: the leader of another cluster, in which other sessions have
/// the same numbers, renewed the lease of a sidecar and the session of an entry, which missed that
/// their own cluster fenced the session.
#[actix_rt::test]
async fn a_client_calls_no_other_cluster() {
    let (first, second) = (Instance::alone().await, Instance::alone().await);
    let control = client::Control::new(&[first.client.addr(), second.client.addr()]);
    let register = |c: ServiceClient, context, cluster| async move {
        c.register(context, cluster, hello(1)).await
    };
    let session = control.call("register", LIMIT, register).await.expect("it is answered");
    let other = second.client.register(hello(2)).await.expect("it is answered");
    assert_eq!(session, other, "the numbers say nothing of the cluster");
    first.control.stop().await;

    let limit = Duration::from_secs(2);
    let sync_entry = |c: ServiceClient, context, cluster| async move {
        c.sync_entry(context, cluster, entry_sync(session.epoch, 1)).await
    };
    let answer = control.call("sync_entry", limit, sync_entry).await;
    assert!(answer.is_err(), "{answer:?}");
    let sync_sidecar = |c: ServiceClient, context, cluster| async move {
        c.sync_sidecar(context, cluster, sidecar_sync(&registry::server(1, 1), None)).await
    };
    let answer = control.call("sync_sidecar", limit, sync_sidecar).await;
    assert!(answer.is_err(), "{answer:?}");
    second.control.stop().await;
}
