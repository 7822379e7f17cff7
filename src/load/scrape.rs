//! Reads counters from the metrics of entries.

use std::{net::SocketAddr, ops::Sub};

use crate::error::{Error, Result};

/// Largest metrics page, in bytes.
const PAGE_MAX_BYTES: usize = 16 * 1024 * 1024;
const STARTS: &str = "briargauge_entry_starts_total";
const WASTED: &str = "briargauge_entry_wasted_messages_total";

/// Sums of counters over all labels and entries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Totals {
    pub starts: f64,
    pub wasted: f64,
}

impl Sub for Totals {
    type Output = Totals;

    fn sub(self, other: Totals) -> Totals {
        Totals { starts: self.starts - other.starts, wasted: self.wasted - other.wasted }
    }
}

/// Reads and sums the counters of all entries.
pub async fn totals(entries: &[SocketAddr]) -> Result<Totals> {
    let mut totals = Totals::default();
    for entry in entries {
        let page = page(*entry).await?;
        totals.starts += sum(&page, STARTS);
        totals.wasted += sum(&page, WASTED);
    }
    Ok(totals)
}

/// Reads the metrics of the process at `addr` as text.
pub async fn page(addr: SocketAddr) -> Result<String> {
    let failed = |e: String| Error::Net {
        step: "read metrics",
        peer: addr,
        source: std::io::Error::other(e),
    };
    let request = awc::Client::default().get(format!("http://{addr}/metrics"));
    let mut response = request.send().await.map_err(|e| failed(e.to_string()))?;
    let body = response.body().limit(PAGE_MAX_BYTES).await.map_err(|e| failed(e.to_string()))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sum of the samples of one metric over all labels.
pub fn sum(page: &str, name: &str) -> f64 {
    page.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(['{', ' ']))
        .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
