//! The calls that an entry makes for submissions.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::{
    client::{self, Failure},
    protocol::{
        id,
        wire::control::{Admission, Admit, Finish, Finished, Refusal, ServiceClient},
    },
};

/// Client of the control group.
pub struct Client {
    pub group: client::Control,
}

/// Why a call has no result.
#[derive(Debug)]
pub enum Rejected {
    /// The entry's session has ended.
    Fenced,
    /// Control cannot carry the call out.
    Invalid { detail: String },
    /// No answer in time. If it was sent, it may have been carried out, or may be later.
    Unanswered { sent: bool, detail: String },
}

impl From<Failure> for Rejected {
    fn from(failure: Failure) -> Rejected {
        let sent = failure.was_sent();
        match failure {
            Failure::Refused { refusal: Refusal::Fenced, .. } => Rejected::Fenced,
            Failure::Refused { refusal: Refusal::Invalid { detail }, .. } => {
                Rejected::Invalid { detail }
            }
            Failure::Refused { peer, refusal } => Rejected::Unanswered {
                sent,
                detail: format!("peer={peer}: {}", client::describe(&refusal)),
            },
            Failure::NoAnswer(e) => Rejected::Unanswered { sent, detail: e.to_string() },
        }
    }
}

impl Client {
    pub fn new(addrs: &[SocketAddr]) -> Client {
        Client { group: client::Control::new(addrs) }
    }

    pub async fn admit(&self, admit: &Admit, until: Instant) -> Result<Admission, Rejected> {
        let call = |client: ServiceClient, context| {
            let admit = admit.clone();
            async move { client.admit(context, admit).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("admit", limit, call).await?)
    }

    pub async fn finish(&self, finish: &Finish, until: Instant) -> Result<Finished, Rejected> {
        let call = |client: ServiceClient, context| {
            let finish = finish.clone();
            async move { client.finish(context, finish).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("finish", limit, call).await?)
    }

    pub async fn lookup(&self, key: &id::Key, until: Instant) -> Result<Admission, Rejected> {
        let call = |client: ServiceClient, context| {
            let key = key.clone();
            async move { client.lookup(context, key).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("lookup", limit, call).await?)
    }
}
