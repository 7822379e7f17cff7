//! The service that entries and sidecars call.

use tarpc::context::Context;

use super::Coordinator;
use crate::protocol::{
    id,
    wire::queue::{Answer, Call, Commands, Refusal, Report, Service},
};

/// Serves the calls of one connection.
#[derive(Clone)]
pub struct Handler {
    coordinator: Coordinator,
}

impl Handler {
    pub fn new(coordinator: Coordinator) -> Handler {
        Handler { coordinator }
    }
}

impl Service for Handler {
    async fn call(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        call: Call,
    ) -> Result<Answer, Refusal> {
        self.coordinator.check_cluster(cluster).await?;
        self.coordinator.call(call).await
    }

    async fn report(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        report: Report,
    ) -> Result<Commands, Refusal> {
        self.coordinator.check_cluster(cluster).await?;
        self.coordinator.report(report).await
    }
}
