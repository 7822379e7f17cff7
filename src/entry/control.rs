//! The calls that an entry makes to control for its submissions.

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

/// Why a call to control has no result.
#[derive(Debug)]
pub enum CallError {
    /// The entry's session has ended.
    Fenced,
    /// Control cannot execute the call.
    Invalid { detail: String },
    /// There was no result in time: no answer arrived, or control refused for another reason, for
    /// example because it has no leader. If the call was sent, control may have executed it or may
    /// do so later.
    Unanswered { sent: bool, detail: String },
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> CallError {
        let sent = failure.may_have_executed();
        match failure {
            Failure::Refused { refusal: Refusal::Fenced, .. } => CallError::Fenced,
            Failure::Refused { refusal: Refusal::Invalid { detail }, .. } => {
                CallError::Invalid { detail }
            }
            Failure::Refused { peer, refusal } => CallError::Unanswered {
                sent,
                detail: format!("peer={peer}: {}", client::describe(&refusal)),
            },
            Failure::NoAnswer(e) => CallError::Unanswered { sent, detail: e.to_string() },
        }
    }
}

impl Client {
    pub fn new(addrs: &[SocketAddr]) -> Client {
        Client { group: client::Control::new(addrs) }
    }

    pub async fn admit(&self, admit: &Admit, until: Instant) -> Result<Admission, CallError> {
        let call = |client: ServiceClient, context, cluster| {
            let admit = admit.clone();
            async move { client.admit(context, cluster, admit).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("admit", limit, call).await?)
    }

    pub async fn finish(&self, finish: &Finish, until: Instant) -> Result<Finished, CallError> {
        let call = |client: ServiceClient, context, cluster| {
            let finish = finish.clone();
            async move { client.finish(context, cluster, finish).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("finish", limit, call).await?)
    }

    pub async fn lookup(&self, key: &id::Key, until: Instant) -> Result<Admission, CallError> {
        let call = |client: ServiceClient, context, cluster| {
            let key = key.clone();
            async move { client.lookup(context, cluster, key).await }
        };
        let limit = until.saturating_duration_since(Instant::now());
        Ok(self.group.call("lookup", limit, call).await?)
    }
}
