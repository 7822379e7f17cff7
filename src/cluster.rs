//! The cluster of control instances that a client follows.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::protocol::id;

/// Shortest interval between two log lines about the same instance of another cluster.
const OTHER_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Cluster that a client follows: the first one that a leader has named to it.
#[derive(Debug, Default)]
pub struct Followed {
    cluster: Cell<Option<id::Cluster>>,
    /// Instances that belong to other clusters, and when that was last logged.
    others: RefCell<IndexMap<SocketAddr, Instant>>,
}

impl Followed {
    /// The cluster that is followed; `None` before the first one.
    pub fn get(&self) -> Option<id::Cluster> {
        self.cluster.get()
    }

    /// Follows the cluster that the client's own disk belongs to, whatever was followed before.
    pub fn set_own(&self, cluster: id::Cluster) {
        log::info!("event=cluster_followed cluster={cluster} from=disk");
        self.cluster.set(Some(cluster));
    }

    /// Handles the refusal of `peer`, which belongs to `cluster`. Returns whether that is the cluster
    /// that is followed, from now on if there was none.
    pub fn handle_refusal(&self, peer: SocketAddr, cluster: id::Cluster) -> bool {
        let followed = self.cluster.get();
        match followed {
            None => {
                log::info!("event=cluster_followed cluster={cluster} peer={peer}");
                self.cluster.set(Some(cluster));
            }
            Some(followed) if followed != cluster => self.log_other(peer, cluster, followed),
            Some(_) => {}
        }
        followed.is_none_or(|followed| followed == cluster)
    }

    fn log_other(&self, peer: SocketAddr, cluster: id::Cluster, followed: id::Cluster) {
        let mut others = self.others.borrow_mut();
        others.retain(|_, logged| logged.elapsed() < OTHER_LOG_INTERVAL);
        if !others.contains_key(&peer) {
            others.insert(peer, Instant::now());
            log::warn!("event=other_cluster peer={peer} cluster={cluster} followed={followed}");
        }
    }
}
