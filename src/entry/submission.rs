//! Parses and checks the requests of callers.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{
    budget::Reservation,
    coordination::dispatch::{Spec, TaskSpec},
    entry::{engine::Workload, keyed::KeyedSubmission, settings::Limits},
    protocol::{id, job},
};

/// Longest name of a task kind, in bytes.
pub const KIND_MAX_BYTES: usize = 128;

/// A request body, with the memory reserved for it.
#[derive(Debug)]
pub struct Body {
    pub bytes: Bytes,
    pub reservation: Reservation,
}

/// A valid submission.
#[derive(Debug)]
pub enum Submission {
    Keyed(KeyedSubmission),
    /// An idempotent request without a key.
    Unkeyed(Workload),
}

/// Why a request is invalid; the text is sent to the caller.
pub type Invalid = String;

/// Parses the body of `POST /v1/jobs`.
pub fn job(body: Body, arrived: Instant, limits: &Limits) -> Result<KeyedSubmission, Invalid> {
    let job::Submission { account, key, created_at_ms, deadline_ms, tasks } = parse(&body.bytes)?;
    let key = check_key(account, key)?;
    if tasks.is_empty() {
        return Err("tasks: at least one is needed".into());
    }
    if tasks.len() > limits.tasks_max {
        return Err(format!("tasks: {} are too many, at most {}", tasks.len(), limits.tasks_max));
    }
    let deadline = arrived + limits.deadline(deadline_ms);
    let workload = build_workload(key.account.clone(), tasks, deadline, body.reservation)?;
    Ok(KeyedSubmission { digest: digest(&workload), key, created_at_ms, workload })
}

/// Parses the body of `POST /v1/requests`.
pub fn request(body: Body, arrived: Instant, limits: &Limits) -> Result<Submission, Invalid> {
    let job::Request { account, idempotent, key, created_at_ms, deadline_ms, task } =
        parse(&body.bytes)?;
    let deadline = arrived + limits.deadline(deadline_ms);
    match (key, created_at_ms) {
        (Some(key), Some(created_at_ms)) => {
            let key = check_key(account, key)?;
            let workload =
                build_workload(key.account.clone(), vec![task], deadline, body.reservation)?;
            Ok(Submission::Keyed(KeyedSubmission {
                digest: digest(&workload),
                key,
                created_at_ms,
                workload,
            }))
        }
        (Some(_), None) => Err("created_at_ms: needed with a key".into()),
        (None, Some(_)) => Err("key: needed with created_at_ms".into()),
        (None, None) if !idempotent => Err("key: needed, as the request is not idempotent".into()),
        (None, None) => {
            check_account(&account)?;
            let mut workload = build_workload(account, vec![task], deadline, body.reservation)?;
            workload.spec.restartable = true;
            Ok(Submission::Unkeyed(workload))
        }
    }
}

/// Parses the body of `POST /v1/jobs/cancel`.
pub fn cancel(body: &Body) -> Result<id::Key, Invalid> {
    let job::Cancel { account, key } = parse(&body.bytes)?;
    check_key(account, key)
}

/// Parses the query of `GET /v1/jobs`.
pub fn query(query: &str) -> Result<id::Key, Invalid> {
    let (mut account, mut key) = (None, None);
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "team" => account = Some(value.into_owned()),
            "key" => key = Some(value.into_owned()),
            _ => return Err(format!("{name}: unknown parameter")),
        }
    }
    let account = account.ok_or("team: missing parameter")?;
    let key = key.ok_or("key: missing parameter")?;
    check_key(id::Account(account), key)
}

/// Parses a JSON body. Errors of `serde_json` name the field, line and column.
fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Invalid> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

fn check_account(account: &id::Account) -> Result<(), Invalid> {
    check_length("team", &account.0, id::ACCOUNT_MAX_BYTES)
}

fn check_key(account: id::Account, key: String) -> Result<id::Key, Invalid> {
    check_account(&account)?;
    check_length("key", &key, id::KEY_MAX_BYTES)?;
    Ok(id::Key { account, key })
}

fn check_length(field: &str, value: &str, max: usize) -> Result<(), Invalid> {
    match value.len() {
        0 => Err(format!("{field}: must not be empty")),
        n if n > max => Err(format!("{field}: {n} bytes are too long, at most {max}")),
        _ => Ok(()),
    }
}

fn build_workload(
    account: id::Account,
    tasks: Vec<job::Task>,
    deadline: Instant,
    reservation: Reservation,
) -> Result<Workload, Invalid> {
    let mut inputs = Vec::with_capacity(tasks.len());
    let mut specs = Vec::with_capacity(tasks.len());
    for (index, task) in tasks.into_iter().enumerate() {
        let job::Task { kind, input, declared_ms, needs } = task;
        check_length("kind", &kind, KIND_MAX_BYTES).map_err(|e| format!("tasks[{index}].{e}"))?;
        specs.push(TaskSpec { kind, declared_ms, needs: needs.unwrap_or_default() });
        inputs.push(Box::<str>::from(input).into_string());
    }
    let spec = Spec { account, tasks: specs, deadline: 0, restartable: false };
    Ok(Workload { spec, inputs, deadline, reservation })
}

/// SHA-256 of a submission's tasks. A resubmission must repeat the tasks byte for byte.
///
/// The deadline is not part of the digest because a resubmission may have less time left.
fn digest(workload: &Workload) -> [u8; 32] {
    let mut hash = Sha256::new();
    for (spec, input) in workload.spec.tasks.iter().zip(&workload.inputs) {
        for text in [&spec.kind, input] {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text);
        }
        let declared = spec.declared_ms.map_or(u64::MAX, u64::from);
        hash.update(declared.to_be_bytes());
        hash.update(spec.needs.cpus.to_be_bytes());
        hash.update(spec.needs.memory_mb.to_be_bytes());
        hash.update(spec.needs.accelerators.to_be_bytes());
    }
    hash.finalize().into()
}
