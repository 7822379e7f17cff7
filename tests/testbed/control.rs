//! A simulated control instance for tests of the sidecar.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use briargauge::{
    protocol::{
        id,
        wire::control::{self, Refusal, Service as _},
    },
    transport::rpc,
};
use tarpc::context::Context;

/// What the control instance replies, and what it has received.
#[derive(Debug, Clone)]
pub struct Answers {
    pub lease_ms: u64,
    pub confirmed_age_ms: u64,
    pub sessions: control::Sessions,
    pub refusal: Option<Refusal>,
    /// Time between a call and its reply.
    pub delay: Duration,
    pub rules: Option<control::Rules>,
    /// The last report of the sidecar.
    pub last: Option<control::SidecarSync>,
    /// Number of reports received.
    pub calls: usize,
}

/// A simulated control instance; its thread serves until the test process ends.
#[derive(Clone)]
pub struct Control {
    pub addr: SocketAddr,
    answers: Arc<Mutex<Answers>>,
}

#[derive(Clone)]
struct Handler(Arc<Mutex<Answers>>);

impl Control {
    /// Starts an instance that confirms leases of 3 s and reports the sessions `live`.
    pub fn start(live: &[u64]) -> Control {
        let answers = Arc::new(Mutex::new(Answers {
            lease_ms: 3_000,
            confirmed_age_ms: 0,
            sessions: sessions(live),
            refusal: None,
            delay: Duration::ZERO,
            rules: None,
            last: None,
            calls: 0,
        }));
        let handler = Handler(answers.clone());
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = rpc::serve(([127, 0, 0, 1], 0).into(), handler.serve()).await.unwrap();
                sender.send(server.addr()).unwrap();
                std::future::pending::<()>().await;
            });
        });
        Control { addr: receiver.recv().unwrap(), answers }
    }

    pub fn set(&self, change: impl FnOnce(&mut Answers)) {
        change(&mut self.answers.lock().unwrap());
    }

    pub fn get(&self) -> Answers {
        self.answers.lock().unwrap().clone()
    }

    /// The backend server in the last report.
    pub fn server(&self) -> Option<control::Server> {
        self.get().last?.server
    }
}

/// The list of live sessions, complete up to the newest of them.
pub fn sessions(live: &[u64]) -> control::Sessions {
    let as_of = live.iter().copied().max().unwrap_or(0);
    control::Sessions { as_of, live: live.iter().copied().map(id::Epoch).collect() }
}

/// Defines calls that sidecars do not make.
macro_rules! unused {
    ($($name:ident($($arg:ty),*) -> $answer:ty;)*) => {$(
        async fn $name(self, _: Context, $(_: $arg),*) -> Result<$answer, Refusal> {
            Err(Refusal::Invalid { detail: "not part of the stand-in".into() })
        }
    )*};
}

impl control::Service for Handler {
    async fn sync_sidecar(
        self,
        _: Context,
        _: Option<id::Cluster>,
        sync: control::SidecarSync,
    ) -> Result<control::SidecarView, Refusal> {
        let answers = {
            let mut answers = self.0.lock().unwrap();
            answers.calls += 1;
            answers.last = Some(sync.clone());
            answers.clone()
        };
        actix_rt::time::sleep(answers.delay).await;
        match answers.refusal {
            Some(refusal) => Err(refusal),
            None => Ok(control::SidecarView {
                lease_ms: answers.lease_ms,
                confirmed_age_ms: answers.confirmed_age_ms,
                rules: answers.rules.filter(|r| r.version != sync.rules_version),
                sessions: Some(answers.sessions).filter(|s| sync.sessions != Some(s.as_of)),
            }),
        }
    }

    async fn status(self, _: Context) -> control::Status {
        unreachable!("sidecars do not request the status")
    }

    unused! {
        register(Option<id::Cluster>, control::Hello) -> control::Session;
        sync_entry(Option<id::Cluster>, control::EntrySync) -> control::EntryView;
        admit(Option<id::Cluster>, control::Admit) -> control::Admission;
        finish(Option<id::Cluster>, control::Finish) -> control::Finished;
        lookup(Option<id::Cluster>, id::Key) -> control::Admission;
        change_rules(control::Change) -> control::Changed;
        rules() -> control::Rules;
        history(u32) -> Vec<control::Accepted>;
        servers() -> Vec<control::Server>;
        init() -> ();
        change_members(control::MemberChange) -> ();
    }
}
