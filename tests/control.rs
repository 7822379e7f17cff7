//! The control process through its calls, and the decisions its leader takes.

#[path = "control/member.rs"]
mod member;
#[path = "control/quota.rs"]
mod quota;

use std::{path::Path, rc::Rc, time::Duration};

use briargauge::{
    config,
    control::{Control, settings::Settings},
    daemon::Process,
    protocol::{
        id, job,
        wire::{
            self,
            control::{self, Admission, Finished, Refusal, ServiceClient},
        },
    },
    transport::rpc,
};

fn settings(folder: &Path) -> Settings {
    let text = r#"{"node": 1, "data_folder": "", "http": "127.0.0.1:0", "rpc": "127.0.0.1:0"}"#;
    let settings = config::parse("test".as_ref(), text).expect("settings are valid");
    Settings { data_folder: folder.to_owned(), ..settings }
}

struct Client(Rc<rpc::Link<ServiceClient>>);

macro_rules! calls {
    ($($name:ident($($arg:ident: $ty:ty)?) -> $answer:ty;)*) => {
        impl Client {
            $(async fn $name(&self, $($arg: $ty)?) -> Result<$answer, Refusal> {
                let context = rpc::context(Duration::from_secs(20));
                self.0
                    .call(stringify!($name), |c| async move { c.$name(context, $($arg)?).await })
                    .await
                    .expect("the call is answered")
            })*
        }
    };
}

calls! {
    init() -> ();
    register(hello: control::Hello) -> control::Session;
    sync_entry(sync: control::EntrySync) -> control::EntryView;
    sync_sidecar(sync: control::SidecarSync) -> control::SidecarView;
    admit(admit: control::Admit) -> Admission;
    finish(finish: control::Finish) -> Finished;
    lookup(key: id::Key) -> Admission;
}

async fn start() -> (Running, Client) {
    let folder = tempfile::tempdir().expect("a folder");
    let control = Control::start(settings(folder.path())).await.expect("control starts");
    let addr = control.listening().rpc.expect("control serves calls");
    let client = Client(rpc::Link::new(addr));
    client.init().await.expect("a cluster is formed");
    (Running { control, _folder: folder }, client)
}

struct Running {
    control: Control,
    _folder: tempfile::TempDir,
}

fn hello(start: u64) -> control::Hello {
    let addr = "127.0.0.1:9".parse().expect("a valid address");
    control::Hello { addr, data_centre: "Kurume".into(), start }
}

fn key(key: &str) -> id::Key {
    id::Key { team: id::Team("repair".into()), key: key.into() }
}

fn admit(epoch: id::Epoch, seq: u64, name: &str) -> control::Admit {
    control::Admit {
        run: id::Run { epoch, seq },
        key: key(name),
        digest: [1; 32],
        created_at_ms: briargauge::util::unix_ms(),
        tasks: 1,
    }
}

/// Guards against a control process whose calls do not reach the replicated state.
#[actix_rt::test]
async fn admissions_through_calls() {
    let (control, client) = start().await;
    let session = client.register(hello(1)).await.expect("registered");
    assert_eq!(client.register(hello(1)).await, Ok(session));
    let first = client.admit(admit(session.epoch, 1, "a")).await.expect("admitted");
    let Admission::Admitted { job } = first else { panic!("{first:?}") };
    let again = client.admit(admit(session.epoch, 2, "a")).await.expect("answered");
    assert!(matches!(again, Admission::Running { job: other, .. } if other == job));
    let reason = job::Failure::TaskFailed;
    let outcome = wire::Outcome::Failed { reason, detail: String::new() };
    let finish = control::Finish { job, epoch: session.epoch, outcome: outcome.clone() };
    assert_eq!(client.finish(finish).await, Ok(Finished::Recorded));
    let known = client.lookup(key("a")).await;
    assert!(matches!(known, Ok(Admission::Finished { outcome: o, .. }) if o == outcome));
    assert_eq!(client.lookup(key("b")).await, Ok(Admission::Unknown));
    assert_eq!(control.control.stop().await, 0);
}

/// Guards against syncs that refuse live sessions, accept unknown ones or resend known lists.
#[actix_rt::test]
async fn syncs_bring_up_to_date() {
    let (control, client) = start().await;
    let session = client.register(hello(1)).await.expect("registered");
    let member = control::Member {
        incarnation: id::Incarnation(7),
        addr: "127.0.0.1:10".parse().expect("a valid address"),
        data_centre: "Kurume".into(),
        rack: "r1".into(),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::MemberState::Serving,
    };
    let sync = |sessions| control::SidecarSync {
        member: Some(member.clone()),
        rules_version: 0,
        sessions,
    };
    let view = client.sync_sidecar(sync(None)).await.expect("answered");
    let sessions = view.sessions.expect("the first list is sent");
    assert_eq!(sessions.live, [session.epoch]);
    let view = client.sync_sidecar(sync(Some(sessions.as_of))).await.expect("answered");
    assert_eq!(view.sessions, None);
    let sync = |epoch, number| control::EntrySync {
        epoch,
        number,
        rules_version: 0,
        members: None,
        demands: Vec::new(),
    };
    let view = client.sync_entry(sync(session.epoch, 1)).await.expect("answered");
    assert_eq!(view.members.changed, std::slice::from_ref(&member));
    assert_eq!(client.sync_entry(sync(id::Epoch(99), 1)).await, Err(Refusal::Fenced));
    control.control.stop().await;
}
