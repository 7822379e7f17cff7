//! Serves the calls of `wire::control` by passing them to [`Core`].

use std::rc::Rc;

use tarpc::context::Context;

use crate::{
    control::core::Core,
    protocol::{id, wire::control},
};

/// Handles the calls of the service. Each call gets a clone.
#[derive(Clone)]
pub struct Handler {
    pub core: Rc<Core>,
}

impl control::Service for Handler {
    async fn register(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        hello: control::Hello,
    ) -> Result<control::Session, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("register", self.core.register(hello)).await
    }

    async fn sync_entry(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        sync: control::EntrySync,
    ) -> Result<control::EntryView, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("sync_entry", self.core.sync_entry(sync)).await
    }

    async fn sync_sidecar(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        sync: control::SidecarSync,
    ) -> Result<control::SidecarView, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("sync_sidecar", self.core.sync_sidecar(sync)).await
    }

    async fn admit(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        admit: control::Admit,
    ) -> Result<control::Admission, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("admit", self.core.admit(admit)).await
    }

    async fn finish(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        finish: control::Finish,
    ) -> Result<control::Finished, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("finish", self.core.finish(finish)).await
    }

    async fn lookup(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        key: id::Key,
    ) -> Result<control::Admission, control::Refusal> {
        self.core.check_cluster(cluster).await?;
        self.core.counted("lookup", self.core.lookup(key)).await
    }

    async fn change_rules(
        self,
        _: Context,
        change: control::Change,
    ) -> Result<control::Changed, control::Refusal> {
        self.core.counted("change_rules", self.core.change_rules(change)).await
    }

    async fn rules(self, _: Context) -> Result<control::Rules, control::Refusal> {
        self.core.counted("rules", self.core.rules()).await
    }

    async fn history(
        self,
        _: Context,
        limit: u32,
    ) -> Result<Vec<control::Accepted>, control::Refusal> {
        self.core.counted("history", self.core.history(limit)).await
    }

    async fn servers(self, _: Context) -> Result<Vec<control::Server>, control::Refusal> {
        self.core.counted("members", self.core.servers()).await
    }

    async fn status(self, _: Context) -> control::Status {
        self.core.status()
    }

    async fn init(self, _: Context) -> Result<(), control::Refusal> {
        self.core.counted("init", self.core.init()).await
    }

    async fn change_members(
        self,
        _: Context,
        change: control::MemberChange,
    ) -> Result<(), control::Refusal> {
        self.core.counted("change_voters", self.core.change_members(change)).await
    }
}
