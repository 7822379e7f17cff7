//! Properties of the decoders that face a network, for random bytes and for valid messages with
//! changes: no panic, no hang, and memory that is bounded by the length of the message.

mod mutation;

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use actix_http::{Payload, error::PayloadError};
use actix_rt::Runtime;
use briargauge::{
    protocol::{
        announce::{Announce, Leave},
        id, job, queue,
        rule::Rules,
        wire::{control, peer, queue as jobs, sidecar, work},
    },
    transport::{format, http, rpc},
};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use mutation::Edit;
use quickcheck::QuickCheck;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    ClientMessage, Request, Response,
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};

const ADDR: &str = "10.0.0.1:1";

fn checker(cases: u64) -> QuickCheck {
    QuickCheck::new().tests(cases).max_tests(cases)
}

fn addr() -> SocketAddr {
    ADDR.parse().unwrap()
}

/// A message of the system's own protocols, and how its receiver decodes it.
struct Sample {
    bytes: Vec<u8>,
    decode: fn(&[u8]),
}

impl Sample {
    /// A call, as a server receives it.
    fn call<Call: Serialize + DeserializeOwned>(message: Call) -> Sample {
        let context = rpc::context(Duration::from_secs(1));
        let call = ClientMessage::Request(Request { context, id: 7, message });
        let decode = |bytes: &[u8]| decode(format::Calls::<Call, ()>::default(), bytes);
        Sample { bytes: encode(&call), decode }
    }

    /// An answer, as a client receives it.
    fn answer<Answer: Serialize + DeserializeOwned>(message: Answer) -> Sample {
        let answer = Response { request_id: 7, message: Ok(message) };
        let decode = |bytes: &[u8]| decode(Bincode::<Response<Answer>, ()>::default(), bytes);
        Sample { bytes: encode(&answer), decode }
    }
}

fn encode<Message: Serialize>(message: &Message) -> Vec<u8> {
    pin!(Bincode::<(), Message>::default()).serialize(message).unwrap().to_vec()
}

fn decode<Message>(format: impl Deserializer<Message>, bytes: &[u8]) {
    let _ = pin!(format).deserialize(&BytesMut::from(bytes));
}

fn samples() -> Vec<Sample> {
    let cluster = Some(id::Cluster(5));
    let attempt =
        queue::Attempt { task: queue::Task { job: queue::Id(9), step: 0, index: 3 }, number: 1 };
    let needs = queue::Resources { cpu_milli: 500, memory_mb: 256, accelerators: 0 };
    let start = jobs::Start { attempt, needs, estimate_ms: 900, spec: "s".into() };
    let server = jobs::Server {
        id: jobs::ServerId { id: "i-1".into(), started_at_ms: 17 },
        service: "quotes".into(),
        data_centre: "saga".into(),
        capacity: needs,
        labels: vec!["a".into(), "r1".into()],
        draining: false,
    };
    let members = jobs::Members { cluster: id::Cluster(5), index: 3, addrs: vec![addr(); 3] };
    let completion =
        jobs::Completion { number: 4, attempt: Some(attempt), outcome: queue::Outcome::Done };
    let report = jobs::Report {
        sidecar: "s".into(),
        addr: addr(),
        incarnation: 1,
        number: 2,
        backend: jobs::Backend::Present(server.clone()),
        losses: 0,
        generation: 1,
        running: Some(vec![attempt; 2]),
        undecided: vec![attempt],
        completions: vec![completion],
        not_started: vec![jobs::NotStarted { attempt, reason: jobs::Reason::NoCapacity }],
        crashes: Vec::new(),
        batch: 1,
        wait_ms: 100,
        drains: 4,
    };
    let drains = jobs::Drains { version: 4, data_centres: vec!["saga".into()] };
    let batch = jobs::Batch { number: 1, starts: vec![start.clone()], stops: vec![attempt] };
    let commands = jobs::Commands {
        batches: vec![batch],
        drains: drains.clone(),
        ..jobs::Commands::default()
    };
    let submit = jobs::Call::Submit {
        host: "a.example".into(),
        path: "/q/1".into(),
        job: queue::Job::new("s".into(), vec![queue::Step::default(); 2]),
    };
    let config = queue::Config {
        version: 3,
        queues: vec![queue::Queue::default()],
        services: Vec::new(),
        document: "{}".into(),
    };
    let view = jobs::View {
        config: Some(Arc::new(config.clone())),
        sidecars: Some((2, vec![jobs::Sidecar { name: "s".into(), addr: addr(), server }])),
        members: Some(members.clone()),
        drains: Some(drains.clone()),
    };
    let renewal = work::Renewal {
        entry: work::Entry(8),
        revision: work::Revision::default(),
        lease_until_ms: 5,
        members: Some(members),
        drains,
    };
    let command = work::StartCommand {
        entry: work::Entry(8),
        incarnation: 1,
        lease_until_ms: 5,
        start,
        due_ms: 6,
        wait_ms: 7,
    };
    let member = peer::Id { node: id::Node(1), disk: id::Disk(2) };
    let entry = peer::Entry {
        index: 1,
        term: 1,
        payload: peer::Payload::Command(Bytes::from_static(b"command")),
    };
    let append = peer::Message {
        cluster: 5,
        from: member,
        to: member,
        term: 1,
        body: peer::Body::Append {
            seq: 1,
            prev_index: 0,
            prev_term: 0,
            entries: vec![entry; 2],
            commit_index: 1,
        },
    };
    let chunk = peer::SnapshotChunk {
        sender: addr(),
        head: append.clone(),
        offset: 0,
        total: 4,
        data: Bytes::from_static(b"data"),
    };
    let change = control::Change {
        id: "c".into(),
        operator: "kana".into(),
        base: 1,
        text: "drain data-centre Saga # kana: works\n".into(),
    };
    let admit = control::Admit {
        execution: id::Execution { epoch: id::Epoch(1), seq: 2 },
        key: id::Key { account: id::Account("desk".into()), key: "k".into() },
        digest: [7; 32],
        created_at_ms: 1,
        tasks: 3,
    };
    let task = sidecar::Task {
        attempt: id::Attempt {
            execution: id::Execution { epoch: id::Epoch(1), seq: 2 },
            task: 0,
            number: 0,
        },
        incarnation: id::Incarnation(1),
        account: id::Account("desk".into()),
        kind: "quote".into(),
        input: "{}".into(),
        declared_ms: Some(40),
        needs: job::Needs::default(),
        left_ms: 100,
    };
    let standing = peer::Standing {
        id: member,
        cluster: Some(5),
        first_start: false,
        voters: vec![member; 3],
        committed_voters: 3,
        members: vec![addr(); 3],
        leads: true,
        has_leader: true,
    };
    vec![
        Sample::call(jobs::ServiceRequest::Call { cluster, call: submit }),
        Sample::call(jobs::ServiceRequest::Call {
            cluster,
            call: jobs::Call::Configure(Arc::new(config)),
        }),
        Sample::call(jobs::ServiceRequest::Report { cluster, report }),
        Sample::answer(jobs::ServiceResponse::Report(Ok(commands))),
        Sample::answer(jobs::ServiceResponse::Call(Ok(jobs::Answer::View(view)))),
        Sample::call(work::ServiceRequest::Renew { cluster, renewal }),
        Sample::call(work::ServiceRequest::Run { cluster, command }),
        Sample::call(work::ServiceRequest::Stop {
            entry: work::Entry(8),
            attempts: vec![attempt; 2],
        }),
        Sample::call(control::ServiceRequest::ChangeRules { change }),
        Sample::call(control::ServiceRequest::Admit { cluster, admit }),
        Sample::call(peer::ServiceRequest::Step { sender: addr(), message: append }),
        Sample::call(peer::ServiceRequest::SnapshotChunk { chunk }),
        Sample::answer(peer::ServiceResponse::Hello(Some(standing))),
        Sample::call(sidecar::ServiceRequest::Run { task }),
        Sample::call(sidecar::ServiceRequest::Revoke {
            incarnation: id::Incarnation(1),
            attempts: Vec::new(),
        }),
    ]
}

fn is_bounded(message: &[u8], decode: impl FnOnce(&[u8])) -> bool {
    let taken = mutation::excess(message.len(), || decode(message));
    taken.inspect_err(|taken| println!("{taken} bytes for {}", message.len())).is_ok()
}

/// Guards against a changed message between processes that ends the task of its connection, or for
/// which a process reserves the memory of a list that the message does not contain.
#[test]
fn changed_messages_between_processes_are_refused_or_decoded() {
    let _alone = mutation::alone();
    fn holds(which: usize, edits: Vec<Edit>) -> bool {
        let samples = samples();
        let sample = &samples[which % samples.len()];
        is_bounded(&mutation::changed(&sample.bytes, &edits), sample.decode)
    }
    checker(20_000).quickcheck(holds as fn(usize, Vec<Edit>) -> bool);
}

/// Guards against a call that ends the task of its connection, since its deadline is later than a
/// timer can represent, and against one that is refused for a deadline that settings allow.
#[test]
fn deadlines_too_far_ahead_are_refused() {
    let decoded = |days: u64| {
        let context = rpc::context(Duration::from_secs(days * 24 * 3_600));
        let call = ClientMessage::Request(Request { context, id: 7, message: () });
        let message = pin!(format::Calls::<(), ()>::default())
            .deserialize(&BytesMut::from(&encode(&call)[..]));
        message.map(drop).map_err(|e| e.to_string())
    };
    assert_eq!(decoded(0), Ok(()));
    assert_eq!(decoded(50), Ok(()));
    for days in [400, 1_000, 100_000] {
        let refusal = decoded(days).expect_err("a deadline that is not valid");
        assert!(refusal.contains("deadline"), "{refusal}");
    }
}

/// Guards against random bytes that end the task of a connection or take much memory.
#[test]
fn random_messages_between_processes_are_refused_or_decoded() {
    let _alone = mutation::alone();
    fn holds(bytes: Vec<u8>) -> bool {
        samples().iter().all(|sample| is_bounded(&bytes, sample.decode))
    }
    checker(2_000).quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Guards against a length in a message for which a process reserves memory: each byte of each message
/// is replaced by each large number.
#[test]
fn lengths_beyond_the_message_reserve_nothing() {
    let _alone = mutation::alone();
    for sample in samples() {
        for at in 0..sample.bytes.len() {
            for number in 0..mutation::NUMBERS.len() {
                let message = mutation::changed(&sample.bytes, &[Edit::Number { at, number }]);
                assert!(is_bounded(&message, sample.decode), "byte {at}, number {number}");
            }
        }
    }
}

/// Guards against a body that is read beyond its limit, in another order, or not to its end, and
/// against one for which more memory is taken than for its pieces.
#[test]
fn bodies_are_read_up_to_their_limit() {
    let _alone = mutation::alone();
    fn holds(pieces: Vec<Vec<u8>>, broken: Option<u8>, limit: u16) -> bool {
        let limit = usize::from(limit) % 2_000;
        let broken = broken.map(|at| usize::from(at) % (pieces.len() + 1));
        let sent: Vec<&Vec<u8>> = pieces.iter().take(broken.unwrap_or(pieces.len())).collect();
        let whole: Vec<u8> = sent.iter().copied().flatten().copied().collect();
        let mut parts: Vec<Result<Bytes, PayloadError>> =
            sent.into_iter().map(|piece| Ok(Bytes::from(piece.clone()))).collect();
        if broken.is_some() {
            parts.push(Err(PayloadError::Incomplete(None)));
        }
        let payload = Payload::Stream { payload: stream::iter(parts).boxed_local() };
        let mut request = actix_http::Request::with_payload(payload);
        // The time limit of a body needs a runtime.
        let runtime = Runtime::new().unwrap();
        let mut body = None;
        let bounded = mutation::excess(whole.len(), || {
            body = Some(runtime.block_on(http::body(&mut request, limit)));
        });
        let expected = match body.unwrap() {
            Ok(body) => broken.is_none() && whole.len() <= limit && body == whole,
            Err(http::BodyError::TooLarge(at)) => at == limit && whole.len() > limit,
            Err(http::BodyError::Broken(_)) => broken.is_some() && whole.len() <= limit,
            Err(http::BodyError::Late(_) | http::BodyError::Refused) => false,
        };
        bounded.is_ok() && expected
    }
    checker(5_000).quickcheck(holds as fn(Vec<Vec<u8>>, Option<u8>, u16) -> bool);
}

const SUBMISSION: &str = r#"{"team":"desk","key":"k","created_at_ms":1,"deadline_ms":900,"tasks":[
    {"kind":"quote","input":{"a":[1,2]},"declared_ms":40,"needs":{"cpus":1,"memory_mb":64}}]}"#;
const REQUEST: &str = r#"{"team":"desk","idempotent":true,"task":{"kind":"quote","input":1}}"#;
const CANCEL: &str = r#"{"team":"desk","key":"k"}"#;
const ANNOUNCE: &str = r#"{"addr":"10.0.0.1:1","start":7,"slots":8,"connections":64,
    "kinds":["quote"],"size":{"cpus":16,"memory_mb":1024,"accelerators":1}}"#;
const LEAVE: &str = r#"{"start":7}"#;

fn decode_json(body: &[u8]) {
    let _ = serde_json::from_slice::<job::Submission>(body);
    let _ = serde_json::from_slice::<job::Request>(body);
    let _ = serde_json::from_slice::<job::Cancel>(body);
    let _ = serde_json::from_slice::<Announce>(body);
    let _ = serde_json::from_slice::<Leave>(body);
}

/// Guards against a body of a caller or a backend server that ends a process, by the depth of its
/// stack, or takes much memory.
#[test]
fn changed_bodies_are_refused_or_decoded() {
    let _alone = mutation::alone();
    fn holds(which: usize, edits: Vec<Edit>, random: Vec<u8>) -> bool {
        let samples = [SUBMISSION, REQUEST, CANCEL, ANNOUNCE, LEAVE];
        let sample = samples[which % samples.len()];
        let changed = mutation::changed_text(sample, &edits);
        is_bounded(&changed, decode_json) && is_bounded(&random, decode_json)
    }
    checker(3_000).quickcheck(holds as fn(usize, Vec<Edit>, Vec<u8>) -> bool);
}

const RULES: &str = "\
team *      quota 200 starts/s  # kana: default
team repair retries 5% # kana: budget
kind scan only rack Kurume/r2 # emi: licence
drain data-centre Fukuoka # ito: power works
drain server 10.0.3.7:7400 # ito: disk errors
";

/// Guards against texts of rules that take hundreds of times their memory: empty lines had the size of a
/// rule each, and the search for the nearest known word compared words of any length.
#[test]
fn rules_take_memory_in_proportion_to_their_text() {
    let _alone = mutation::alone();
    let word = "x".repeat(200_000);
    let wrong = [format!("{word} # kana: a"), format!("drain {word} # kana: a")];
    for text in wrong.iter().chain([&"\n".repeat(200_000)]) {
        let parse = |text: &[u8]| {
            let _ = Rules::parse(&String::from_utf8_lossy(text));
        };
        assert!(is_bounded(text.as_bytes(), parse));
    }
}

/// Guards against a text of rules that ends a process or takes much memory.
#[test]
fn changed_rules_are_refused_or_parsed() {
    let _alone = mutation::alone();
    fn holds(edits: Vec<Edit>, random: String) -> bool {
        let changed = mutation::changed_text(RULES, &edits);
        let parse = |text: &[u8]| {
            let _ = Rules::parse(&String::from_utf8_lossy(text));
        };
        is_bounded(&changed, parse) && is_bounded(random.as_bytes(), parse)
    }
    checker(2_000).quickcheck(holds as fn(Vec<Edit>, String) -> bool);
}
