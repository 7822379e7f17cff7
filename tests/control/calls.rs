//! Control instances that run in the test process, and a client for their calls.

use std::{cell::Cell, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use briargauge::{
    config,
    control::{Control, settings::Settings},
    daemon::Process,
    protocol::{
        id,
        wire::control::{self, Admission, Finished, Refusal, ServiceClient},
    },
    transport::rpc,
};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Time limit of every call and wait. It is generous, so that a busy machine fails no test.
pub const LIMIT: Duration = Duration::from_secs(30);

fn settings(folder: &Path, node: u64) -> Settings {
    let text = r#"{"node": 1, "data_folder": "", "http": "127.0.0.1:0", "rpc": "127.0.0.1:0"}"#;
    let settings = config::parse("test".as_ref(), text).expect("settings are valid");
    Settings { node, data_folder: folder.to_owned(), ..settings }
}

/// A running instance with a client and its data directory.
pub struct Instance {
    pub control: Control,
    pub client: Client,
    _folder: TempDir,
}

impl Instance {
    /// Starts an instance that belongs to no cluster and introduces itself to its peers.
    pub async fn blank(node: u64, peers: &[SocketAddr]) -> Instance {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = Settings { peers: peers.to_vec(), ..settings(folder.path(), node) };
        let control = Control::start(settings).await.expect("it starts");
        let addr = control.listening().rpc.expect("control serves calls");
        Instance { control, client: Client::new(addr), _folder: folder }
    }

    /// Starts an instance and forms a cluster of which it is the only member.
    pub async fn alone() -> Instance {
        let instance = Instance::blank(1, &[]).await;
        instance.client.init().await.expect("a cluster is formed");
        instance
    }
}

/// A client with its own connection, which follows the first cluster that a leader names.
pub struct Client {
    link: Rc<rpc::Link<ServiceClient>>,
    cluster: Cell<Option<id::Cluster>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { link: rpc::Link::new(addr), cluster: Cell::new(None) }
    }

    pub fn addr(&self) -> SocketAddr {
        self.link.addr()
    }
}

macro_rules! calls {
    ($($name:ident($($arg:ident: $ty:ty)?) -> $answer:ty;)*) => {
        impl Client {
            $(pub async fn $name(&self, $($arg: $ty)?) -> $answer {
                let context = rpc::context(LIMIT);
                self.link
                    .call(stringify!($name), |c| async move { c.$name(context, $($arg)?).await })
                    .await
                    .expect("the call is answered")
            })*
        }
    };
}

macro_rules! calls_of_followers {
    ($($name:ident($arg:ident: $ty:ty) -> $answer:ty;)*) => {
        impl Client {
            $(pub async fn $name(&self, $arg: $ty) -> $answer {
                loop {
                    let (context, cluster) = (rpc::context(LIMIT), self.cluster.get());
                    let $arg = $arg.clone();
                    let answer = self
                        .link
                        .call(stringify!($name), |c| async move {
                            c.$name(context, cluster, $arg).await
                        })
                        .await
                        .expect("the call is answered");
                    match answer {
                        Err(Refusal::OtherCluster { cluster: named }) if cluster.is_none() => {
                            self.cluster.set(Some(named));
                        }
                        answer => return answer,
                    }
                }
            })*
        }
    };
}

calls! {
    init() -> Result<(), Refusal>;
    status() -> control::Status;
    change_members(change: control::MemberChange) -> Result<(), Refusal>;
    change_rules(change: control::Change) -> Result<control::Changed, Refusal>;
    rules() -> Result<control::Rules, Refusal>;
    history(limit: u32) -> Result<Vec<control::Accepted>, Refusal>;
    servers() -> Result<Vec<control::Server>, Refusal>;
}

calls_of_followers! {
    register(hello: control::Hello) -> Result<control::Session, Refusal>;
    sync_entry(sync: control::EntrySync) -> Result<control::EntryView, Refusal>;
    sync_sidecar(sync: control::SidecarSync) -> Result<control::SidecarView, Refusal>;
    admit(admit: control::Admit) -> Result<Admission, Refusal>;
    finish(finish: control::Finish) -> Result<Finished, Refusal>;
    lookup(key: id::Key) -> Result<Admission, Refusal>;
}

/// Calls `ready` until it returns a value. Panics after [`LIMIT`].
pub async fn until<T>(mut ready: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(value) = ready().await {
            return value;
        }
        assert!(Instant::now() < end, "condition not met within {LIMIT:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub fn hello(start: u64) -> control::Hello {
    let addr = "127.0.0.1:9".parse().expect("a valid address");
    control::Hello { addr, data_centre: "Kurume".into(), start }
}

pub fn key(key: &str) -> id::Key {
    id::Key { account: id::Account("repair".into()), key: key.into() }
}

pub fn admit(epoch: id::Epoch, seq: u64, name: &str) -> control::Admit {
    control::Admit {
        execution: id::Execution { epoch, seq },
        key: key(name),
        digest: [1; 32],
        created_at_ms: briargauge::util::unix_ms(),
        tasks: 1,
    }
}

pub fn entry_sync(epoch: id::Epoch, number: u64) -> control::EntrySync {
    control::EntrySync { epoch, number, rules_version: 0, servers: None, demands: Vec::new() }
}

pub fn change(id: &str, operator: &str, base: u64, text: &str) -> control::Change {
    control::Change { id: id.into(), operator: operator.into(), base, text: text.into() }
}
