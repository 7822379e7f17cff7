//! The world of the tests: entries, sidecars and backend servers on a virtual clock, each with a clock
//! of its own, the messages between them, and disruptions.
//!
//! The scheduler and the sidecars are the real ones. `Link` follows the timing of the entry's
//! connections, `BackendServer` the leases of a backend server.

mod claims;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use briargauge::{
    coordination::{
        connection::{Lease, Watermark},
        sidecar::{Check, Identity, Poll, PollReply, Running, Sidecar, Source, StartResult},
        transient::{JobOutcome, Key, Scheduler, StartCommand},
    },
    protocol::{
        queue::{self, Attempt, Id, Job, Queue, Resources, Step, Task},
        wire::{
            queue::{self as wire, Commands, Completion, Server, ServerId},
            work::{self, Load, Outcome, Reply},
        },
    },
};
use claims::Announcement;

const ENTRIES: usize = 3;
const SERVERS: usize = 3;
const END_MS: u64 = 9_000;
/// Longest time from the end of the last fault until the sidecar of each backend server may start
/// attempts there. What another writer has said of a server may be in force until the fourth
/// announcement of that server after it.
const USED_AGAIN_MS: u64 = 6_500;
/// One way between an entry and a sidecar, unless a test sets another.
const DELAY_MS: u64 = 2;
const BACKEND_LEASE_MS: u64 = 1_000;
const RENEW_INTERVAL_MS: u64 = 150;
const RENEW_TIMEOUT_MS: u64 = 350;
const RECONNECT_MS: u64 = 100;
const IDLE_SKIPS: u32 = 5;
const DEADLINE_MS: u64 = 1_500;
/// Pause of callers before they send a job again.
const RETRY_MS: u64 = 1_300;
const POLL_MS: u64 = 25;
const TICK_MS: u64 = 50;
/// Time after a pause until an entry reads what has arrived. Its timers expire before.
const READ_DELAY_MS: u64 = 6;
/// Kinds of faults that histories are drawn from.
pub const KINDS: [u8; 21] =
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 17, 18, 19, 20, 21, 22, 23];
/// The same with backend servers that are silent and carry calls out later.
pub const KINDS_WITH_SILENCE: [u8; 22] =
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 17, 18, 19, 20, 21, 22, 23];
/// The same as `KINDS` with refused connections to live backend servers.
pub const KINDS_WITH_REFUSALS: [u8; 22] =
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15, 17, 18, 19, 20, 21, 22, 23];
/// The same as `KINDS` with cuts between an entry and its callers.
pub const KINDS_WITH_CUT_CALLERS: [u8; 22] =
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 16, 17, 18, 19, 20, 21, 22, 23];
/// Announcements of other writers, late ones, and restarts of backend servers.
pub const KINDS_OF_CLAIMS: [u8; 9] = [5, 17, 18, 19, 20, 21, 22, 23, 24];
/// Time limit of a call to start or stop an attempt.
const COMMAND_LIMIT_MS: u64 = 60;
const STOP_RETRY_MS: u64 = 50;
/// Time limit of a poll beyond its wait.
const POLL_LIMIT_MS: u64 = 200;
const POLL_OVERDUE_MS: u64 = 40;
const IDLE_WAIT_MS: u64 = 250;
const BUSY_WAIT_MS: u64 = 100;
/// Longest time by which a backend server carries out a call late.
const LATE_MAX_MS: u64 = 2_500;
/// The same for a server that is silent. A lease in such a call counts from its arrival.
const SILENT_LATE_MAX_MS: u64 = 6_000;
/// Pause after a poll that was refused.
const REFUSED_PAUSE_MS: u64 = 40;
/// Longest time until a poll is carried out, and from then until its answer arrives, while polls
/// overtake each other.
const OVERTAKEN_MAX_MS: u64 = 90;
/// Delays of a slow process.
const SLOW_MIN_MS: u64 = 20;
const SLOW_MAX_MS: u64 = 300;
/// Time after a job's refusal until its caller sends it to another entry.
const REFUSED_RETRY_MS: u64 = 20;
/// A stopping entry takes no job if less time is left, and ends no earlier than after the delay.
const STOP_TIME_MIN_MS: u64 = 2_500;
const STOP_DELAY_MS: u64 = 1_000;
const CLOCK_OFFSET_MAX_MS: u64 = 1_000_000;
/// Most by which a sidecar's clock runs faster or slower than the entries'.
const SIDECAR_DRIFT_MAX_PPM: i64 = 1_000;
/// Most by which a backend server's clock is slower than its sidecar's.
const SERVER_SLOW_MAX_PPM: i64 = 20_000;

fn server(id: ServerId) -> Server {
    Server {
        id,
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 64_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    }
}

/// Id of the first backend server at an instance.
fn first_id(index: usize) -> ServerId {
    ServerId { id: format!("b{index}"), started_at_ms: claims::FIRST_START_MS }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Where the first backend server of an instance listens.
fn first_addr(index: usize) -> SocketAddr {
    addr(10 + index as u16)
}

/// A process's clock: the time base it is read from, with another origin and rate.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset_ms: i64,
    slow_ppm: i64,
}

impl Clock {
    const SAME: Clock = Clock { offset_ms: 0, slow_ppm: 0 };

    fn read(&self, base_ms: u64) -> u64 {
        let base_ms = base_ms as i64;
        (self.offset_ms + base_ms - base_ms * self.slow_ppm / 1_000_000) as u64
    }

    /// Lets the clock begin at 0.
    fn restart(&mut self, base_ms: u64) {
        self.offset_ms -= self.read(base_ms) as i64;
    }
}

/// A process of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    server: usize,
    life: u64,
}

/// A backend server. Its attempts end after a drawn time, or when its lease expires.
struct BackendServer {
    life: u64,
    id: ServerId,
    addr: SocketAddr,
    /// From when it listens.
    up_ms: u64,
    /// Number of its newest announcement.
    seq: u64,
    /// On the server's clock.
    lease_until_ms: u64,
    /// Running attempts and when they end.
    running: BTreeMap<Attempt, u64>,
    /// Highest attempt number that has started, ended or was stopped, by task.
    highest: BTreeMap<Task, u32>,
    completions: Vec<Completion>,
    /// Highest fencing token that was received.
    fence: u64,
}

impl BackendServer {
    fn new(life: u64, id: ServerId, addr: SocketAddr, up_ms: u64) -> BackendServer {
        BackendServer {
            life,
            id,
            addr,
            up_ms,
            seq: 1,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            completions: Vec::new(),
            fence: 0,
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement { server: server(self.id.clone()), addr: self.addr, seq: self.seq }
    }

    fn end(&mut self, attempt: Attempt, outcome: queue::Outcome) {
        if self.running.remove(&attempt).is_some() {
            let number = self.completions.len() as u64 + 1;
            self.completions.push(Completion { number, attempt: Some(attempt), outcome });
        }
    }

    fn advance(&mut self, now_ms: u64, clock_ms: u64) {
        let lapsed = self.lease_until_ms < clock_ms;
        let ended: Vec<Attempt> =
            self.running.iter().filter(|(_, end)| **end <= now_ms).map(|(a, _)| *a).collect();
        for attempt in ended {
            self.end(attempt, queue::Outcome::Done);
        }
        if lapsed {
            for attempt in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(attempt, queue::Outcome::Stopped);
            }
        }
    }

    /// Whether a call is carried out: not if a newer fencing token was received.
    fn accepts(&mut self, fence: u64) -> bool {
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn grant(&mut self, clock_ms: u64, until_ms: Option<u64>) {
        let until_ms = until_ms.map_or(0, |until_ms| until_ms.min(clock_ms + BACKEND_LEASE_MS));
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }
}

/// One opening of an entry's connection to a sidecar.
#[derive(Debug, Clone)]
struct Channel {
    id: work::Entry,
    incarnation: u64,
    lease: Lease,
    /// When the renewal in flight was sent.
    sent_ms: Option<u64>,
    next_ms: u64,
    skipped: u32,
    attempts: BTreeSet<Attempt>,
}

/// Id of a connection that is being opened, and when that began.
type Opening = (work::Entry, u64);

/// A broken connection, the connection that is to release it, and when another is to be opened for
/// that.
type Broken = (Channel, Option<Opening>, u64);

/// An entry's connection to a sidecar.
#[derive(Default)]
struct Link {
    channel: Option<Channel>,
    opening: Option<Opening>,
    retry_ms: u64,
    broken: Vec<Broken>,
}

struct Entry {
    scheduler: Scheduler,
    /// The sidecars' keys in the scheduler.
    keys: Vec<Key>,
    links: Vec<Link>,
    /// Callers that wait, by job.
    waiters: BTreeMap<Id, BTreeSet<u64>>,
    /// Increases when the process is restarted.
    life: u64,
    watermark: Watermark,
}

#[derive(Debug, Clone)]
enum Message {
    Run(work::StartCommand),
    Renew { channel: work::Entry, lease_until_ms: u64, sent_ms: u64 },
    Stop { channel: work::Entry, attempt: Attempt },
    Release { channel: work::Entry },
    Ended { channel: work::Entry, attempt: Attempt, outcome: Outcome, load: Load },
    Status { channel: work::Entry, sent_ms: u64, status: work::Status },
    Released { channel: work::Entry, ended: bool },
    Submit { job: Id, call: u64 },
    Close { job: Id, call: u64 },
}

#[derive(Debug, Clone)]
enum Event {
    ToEntry {
        entry: usize,
        life: u64,
        sidecar: usize,
        message: Message,
    },
    ToSidecar {
        sidecar: usize,
        entry: usize,
        life: u64,
        incarnation: u64,
        sent_ms: u64,
        message: Message,
    },
    /// A caller sends a job.
    Send {
        job: Id,
    },
    /// A caller's deadline.
    Expire {
        job: Id,
        call: u64,
        entry: usize,
    },
    Claim(claims::Step),
    /// A backend server carries out a call; `answered` if the answer arrives.
    Served {
        call: Call,
        answered: bool,
    },
    Answered {
        call: Call,
        answer: Answer,
    },
    /// What a slow process handles late.
    Slow(Box<Event>),
    /// A poll beside those in flight.
    PollOnce {
        sidecar: usize,
        incarnation: u64,
    },
    /// A stop that was not confirmed is due again.
    StopAgain {
        sidecar: usize,
        incarnation: u64,
        attempt: Attempt,
    },
    Fault(Fault),
}

/// A call of a sidecar's process to its backend server.
#[derive(Debug, Clone)]
struct Call {
    sidecar: usize,
    incarnation: u64,
    /// The server that the sidecar knows, and the process that is called. A late call ends with that
    /// process.
    known: Identity,
    called: Option<Process>,
    /// When it was sent, on the sidecar's clock.
    sent_ms: u64,
    poll: Poll,
    request: Request,
    /// Time from sending by which a lease in the call counts later.
    grant_late_ms: u64,
}

#[derive(Debug, Clone, Copy)]
enum Request {
    /// The attempt takes `for_ms`.
    Start {
        attempt: Attempt,
        for_ms: u64,
    },
    Stop(Attempt),
    Poll,
}

impl Request {
    /// What the sidecar takes a missing answer for.
    fn unanswered(&self) -> Answer {
        match self {
            Request::Start { .. } => Answer::Start(StartResult::Unknown),
            Request::Stop(_) => Answer::Stop(false),
            Request::Poll => Answer::Poll(None),
        }
    }

    /// What the sidecar takes the answer of a server with another id for.
    fn misdirected(&self) -> Answer {
        match self {
            Request::Start { .. } => {
                Answer::Start(StartResult::NotStarted(wire::Reason::Unavailable))
            }
            Request::Stop(_) => Answer::Stop(true),
            Request::Poll => Answer::Poll(None),
        }
    }
}

#[derive(Debug, Clone)]
enum Answer {
    Start(StartResult),
    /// Whether the stop was confirmed.
    Stop(bool),
    Poll(Option<PollReply>),
    Refused,
}

/// What becomes of a call to a backend server.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    /// It is not carried out.
    Lost,
    /// It is carried out without an answer.
    Unanswered,
    /// It is carried out after this time in ms.
    Late(u64),
    /// The same by a silent server, without an answer.
    Silent(u64),
    Refused,
}

/// Kind, time, target, and length.
pub type Drawn = (u8, u16, u8, u16);

#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: u8,
    target: usize,
    other: usize,
    for_ms: u64,
}

pub struct World {
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random: u64,
    /// The same for announcements and calls to candidates.
    claims_random: u64,
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    servers: Vec<BackendServer>,
    /// What the backend servers of each instance have announced.
    announced: Vec<Vec<Announcement>>,
    /// End of the last fault.
    calm_ms: u64,
    /// The sidecars' clocks, based on the entries'.
    sidecar_clocks: Vec<Clock>,
    /// The backend servers' clocks, based on their sidecars'.
    server_clocks: Vec<Clock>,
    entry_of: HashMap<work::Entry, usize>,
    entry_paused_ms: Vec<u64>,
    sidecar_paused_ms: Vec<u64>,
    /// Time of a message between an entry and a sidecar.
    delay_ms: u64,
    /// Until when messages between an entry and a sidecar are held up.
    stalled_ms: Vec<Vec<u64>>,
    /// Until when calls to a backend server are lost, are not answered, and are late.
    calls_lost_ms: Vec<u64>,
    calls_unanswered_ms: Vec<u64>,
    calls_late_ms: Vec<u64>,
    /// Until when a backend server is silent, its polls overtake each other, and calls are refused.
    calls_silent_ms: Vec<u64>,
    /// Shortest time by which a silent server carries a call out late.
    silent_late_min_ms: u64,
    polls_overtake_ms: Vec<u64>,
    calls_refused_ms: Vec<u64>,
    /// Until when a process is slow, when it runs next, and when it then reads messages. The entries
    /// come first.
    slow_ms: Vec<u64>,
    wake_ms: Vec<u64>,
    read_ms: Vec<u64>,
    /// When an entry was told to stop, and when it ends at the latest.
    stopping: Vec<Option<(u64, u64)>>,
    /// Until when nothing passes between an entry and its callers, and neither notices.
    callers_cut_ms: Vec<u64>,
    /// When a sidecar polls again after a poll without an answer.
    next_poll_ms: Vec<u64>,
    /// Jobs that wait for an answer, with the call and the entry.
    calls: BTreeMap<Id, (u64, usize)>,
    sends: BTreeMap<Id, u32>,
    trace: Vec<String>,
    broken: Option<String>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now_ms: 10,
            events: BTreeMap::new(),
            sequence: 0,
            random: seed | 1,
            claims_random: seed | 1,
            entries: Vec::new(),
            sidecars: Vec::new(),
            servers: Vec::new(),
            announced: vec![Vec::new(); SERVERS],
            calm_ms: 0,
            sidecar_clocks: vec![Clock::SAME; SERVERS],
            server_clocks: vec![Clock::SAME; SERVERS],
            entry_of: HashMap::new(),
            entry_paused_ms: vec![0; ENTRIES],
            sidecar_paused_ms: vec![0; SERVERS],
            delay_ms: DELAY_MS,
            stalled_ms: vec![vec![0; SERVERS]; ENTRIES],
            calls_lost_ms: vec![0; SERVERS],
            calls_unanswered_ms: vec![0; SERVERS],
            calls_late_ms: vec![0; SERVERS],
            calls_silent_ms: vec![0; SERVERS],
            silent_late_min_ms: 0,
            polls_overtake_ms: vec![0; SERVERS],
            calls_refused_ms: vec![0; SERVERS],
            slow_ms: vec![0; ENTRIES + SERVERS],
            wake_ms: vec![0; ENTRIES + SERVERS],
            read_ms: vec![0; ENTRIES + SERVERS],
            stopping: vec![None; ENTRIES],
            callers_cut_ms: vec![0; ENTRIES],
            next_poll_ms: vec![0; SERVERS],
            calls: BTreeMap::new(),
            sends: BTreeMap::new(),
            trace: Vec::new(),
            broken: None,
        };
        for index in 0..SERVERS {
            world.servers.push(BackendServer::new(1, first_id(index), first_addr(index), 0));
        }
        world.sidecars = (0..SERVERS).map(|index| world.first_sidecar(index)).collect();
        world.entries = (0..ENTRIES).map(|_| World::new_entry(world.now_ms, 1)).collect();
        world
    }

    pub fn with_delay(mut self, delay_ms: u64) -> World {
        self.delay_ms = delay_ms;
        self
    }

    /// Lets silent servers carry calls out late by `least_ms` at least.
    pub fn with_late_calls_after(mut self, least_ms: u64) -> World {
        self.silent_late_min_ms = least_ms;
        self
    }

    /// Draws the clocks of the sidecars and of the backend servers.
    pub fn with_drawn_clocks(mut self) -> World {
        for index in 0..SERVERS {
            self.sidecar_clocks[index] = Clock {
                offset_ms: self.draw(CLOCK_OFFSET_MAX_MS) as i64,
                slow_ppm: 500 * self.draw(5) as i64 - SIDECAR_DRIFT_MAX_PPM,
            };
            self.server_clocks[index] = Clock {
                offset_ms: self.draw(CLOCK_OFFSET_MAX_MS) as i64,
                slow_ppm: SERVER_SLOW_MAX_PPM / 4 * self.draw(5) as i64,
            };
            self.sidecars[index] = self.first_sidecar(index);
        }
        self
    }

    /// A sidecar that knows its backend server.
    fn first_sidecar(&self, index: usize) -> Sidecar {
        let clock_ms = self.sidecar_ms(index);
        let mut sidecar = self.new_sidecar(index, 1);
        let Announcement { server, addr, seq } = self.servers[index].announcement();
        let identity = Identity { server: server.id.clone(), addr };
        sidecar.announce(clock_ms, server, addr, seq);
        sidecar.checked(clock_ms, clock_ms, &identity, Check::Present);
        sidecar.take_actions();
        sidecar
    }

    fn new_sidecar(&self, index: usize, generation: u64) -> Sidecar {
        let clock_ms = self.sidecar_ms(index);
        let mut sidecar = Sidecar::new(format!("s{index}"), addr(1), generation, BACKEND_LEASE_MS);
        let report = sidecar.report(0);
        let commands = Commands { term: 1, generation, lease_ms: 10_000, ..Commands::default() };
        sidecar.handle_commands(clock_ms, clock_ms, &report, commands);
        sidecar
    }

    /// Time on a sidecar's clock.
    fn sidecar_ms(&self, sidecar: usize) -> u64 {
        self.sidecar_clocks[sidecar].read(self.now_ms)
    }

    /// Time on a backend server's clock.
    fn server_ms(&self, sidecar: usize) -> u64 {
        self.server_clocks[sidecar].read(self.sidecar_ms(sidecar))
    }

    fn new_entry(now_ms: u64, life: u64) -> Entry {
        let mut scheduler = Scheduler::default();
        let describe = |index| {
            scheduler.describe(wire::Sidecar {
                name: format!("s{index}"),
                addr: addr(1),
                server: server(first_id(index)),
            })
        };
        let keys = (0..SERVERS).map(describe).collect();
        let links = (0..SERVERS).map(|_| Link::default()).collect();
        let watermark = Watermark::new(now_ms);
        Entry { scheduler, keys, links, waiters: BTreeMap::new(), life, watermark }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms.max(self.now_ms), self.sequence), event);
    }

    fn note(&mut self, line: String) {
        self.trace.push(format!("{:>5} {line}", self.now_ms));
    }

    /// Sends a message on a connection, which ends with the process `incarnation` of the sidecar.
    fn send_to_sidecar(
        &mut self,
        entry: usize,
        sidecar: usize,
        incarnation: u64,
        message: Message,
    ) {
        let at_ms = self.stalled_ms[entry][sidecar].max(self.now_ms + self.delay_ms);
        let (life, sent_ms) = (self.entries[entry].life, self.now_ms);
        let event = Event::ToSidecar { sidecar, entry, life, incarnation, sent_ms, message };
        self.push(at_ms, event);
    }

    /// Whether the process of an entry that sent a message at `sent_ms` has cancelled that call. A
    /// sidecar that goes on reads the cancellation before it handles the call. Nothing cancels a stop:
    /// its call ends at the entry when its time is over.
    fn canceled(&self, entry: usize, life: u64, sent_ms: u64, message: &Message) -> bool {
        let timeout_ms = sent_ms + RENEW_TIMEOUT_MS;
        !matches!(message, Message::Run(_) | Message::Stop { .. })
            && timeout_ms + self.delay_ms <= self.now_ms
            && self.entries[entry].life == life
            && self.entry_paused_ms[entry] <= timeout_ms
    }

    fn send_to_entry(&mut self, entry: usize, sidecar: usize, message: Message) {
        let at_ms = self.stalled_ms[entry][sidecar].max(self.now_ms + self.delay_ms);
        let life = self.entries[entry].life;
        self.push(at_ms, Event::ToEntry { entry, life, sidecar, message });
    }

    /// Carries out what an entry's scheduler has decided on.
    fn carry_out(&mut self, entry: usize) {
        loop {
            let actions = self.entries[entry].scheduler.take_actions();
            if actions == Default::default() {
                return;
            }
            for command in actions.commands {
                self.command(entry, command);
            }
            for (key, attempt) in actions.stops {
                let sidecar = self.sidecar_of(entry, key);
                if let Some(channel) = &self.entries[entry].links[sidecar].channel {
                    let (channel, incarnation) = (channel.id, channel.incarnation);
                    let stop = Message::Stop { channel, attempt };
                    self.send_to_sidecar(entry, sidecar, incarnation, stop);
                }
            }
            for (job, outcome) in actions.finished {
                let waiters = self.entries[entry].waiters.remove(&job).unwrap_or_default();
                let reached = self.callers_cut_ms[entry] <= self.now_ms;
                if reached && self.calls.get(&job).is_some_and(|(call, _)| waiters.contains(call)) {
                    self.note(format!("entry {entry} answers {job:?} {outcome:?}"));
                    if outcome != JobOutcome::Canceled {
                        self.calls.remove(&job);
                    }
                }
            }
        }
    }

    fn sidecar_of(&self, entry: usize, key: Key) -> usize {
        self.entries[entry].keys.iter().position(|other| *other == key).unwrap()
    }

    fn key(&self, entry: usize, sidecar: usize) -> Key {
        self.entries[entry].keys[sidecar]
    }

    fn command(&mut self, entry: usize, command: StartCommand) {
        let sidecar = self.sidecar_of(entry, command.server);
        let (now_ms, attempt) = (self.now_ms, command.start.attempt);
        let watermark_ms = self.entries[entry].watermark.until_ms();
        let Some(channel) = &mut self.entries[entry].links[sidecar].channel else {
            self.entries[entry].scheduler.ended(now_ms, command.server, attempt, None);
            return;
        };
        channel.attempts.insert(attempt);
        let incarnation = channel.incarnation;
        let message = Message::Run(work::StartCommand {
            entry: channel.id,
            incarnation: command.incarnation,
            lease_until_ms: channel.lease.extend(watermark_ms),
            start: command.start,
            due_ms: channel.lease.clock_lower_bound(command.due_ms),
            wait_ms: command.wait_ms,
        });
        self.note(format!("entry {entry} commands {attempt:?} at {sidecar}"));
        self.send_to_sidecar(entry, sidecar, incarnation, message);
    }

    fn break_link(&mut self, entry: usize, sidecar: usize) {
        let key = self.key(entry, sidecar);
        let now_ms = self.now_ms;
        let link = &mut self.entries[entry].links[sidecar];
        let Some(channel) = link.channel.take() else { return };
        link.broken.push((channel, None, now_ms));
        link.retry_ms = now_ms;
        self.entries[entry].scheduler.disconnected(key);
        self.note(format!("entry {entry} link to {sidecar} broken"));
    }

    /// Opens, renews and releases an entry's connections.
    fn maintain(&mut self, entry: usize, sidecar: usize) {
        let now_ms = self.now_ms;
        let key = self.key(entry, sidecar);
        let idle = self.entries[entry].scheduler.outstanding(key) == 0;
        let present = self.sidecars[sidecar].incarnation();
        let watermark_ms = self.entries[entry].watermark.until_ms();
        let link = &mut self.entries[entry].links[sidecar];
        let mut sends = Vec::new();
        let mut overdue = false;
        match &mut link.channel {
            Some(channel) => {
                overdue = channel.sent_ms.is_some_and(|sent| now_ms >= sent + RENEW_TIMEOUT_MS);
                if channel.sent_ms.is_none() && now_ms >= channel.next_ms {
                    channel.next_ms = now_ms + RENEW_INTERVAL_MS;
                    channel.skipped += 1;
                    if !idle || channel.skipped > IDLE_SKIPS {
                        channel.skipped = 0;
                        channel.sent_ms = Some(now_ms);
                        let lease_until_ms = channel.lease.extend(watermark_ms);
                        let renew =
                            Message::Renew { channel: channel.id, lease_until_ms, sent_ms: now_ms };
                        sends.push((channel.incarnation, renew));
                    }
                }
            }
            None => {
                if link.opening.is_some_and(|(_, at)| now_ms >= at + RENEW_TIMEOUT_MS) {
                    link.opening = None;
                    link.retry_ms = now_ms + RECONNECT_MS;
                }
                if link.opening.is_none() && now_ms >= link.retry_ms {
                    let id = work::Entry(self.entry_of.len() as u64 + 1);
                    self.entry_of.insert(id, entry);
                    link.opening = Some((id, now_ms));
                    let renew = Message::Renew { channel: id, lease_until_ms: 0, sent_ms: now_ms };
                    sends.push((present, renew));
                }
            }
        }
        for (_, release, retry_ms) in &mut link.broken {
            if release.is_some_and(|(_, at)| now_ms >= at + RENEW_TIMEOUT_MS) {
                *release = None;
                *retry_ms = now_ms + RECONNECT_MS;
            }
            if release.is_none() && now_ms >= *retry_ms {
                let id = work::Entry(self.entry_of.len() as u64 + 1);
                self.entry_of.insert(id, entry);
                *release = Some((id, now_ms));
                let renew = Message::Renew { channel: id, lease_until_ms: 0, sent_ms: now_ms };
                sends.push((present, renew));
            }
        }
        for (incarnation, message) in sends {
            self.send_to_sidecar(entry, sidecar, incarnation, message);
        }
        if overdue {
            self.break_link(entry, sidecar);
        }
        self.terminate(entry, sidecar, |channel| channel.lease.over(now_ms));
    }

    /// Ends the attempts of broken connections for which `over` is true.
    fn terminate(&mut self, entry: usize, sidecar: usize, over: impl Fn(&Channel) -> bool) {
        let key = self.key(entry, sidecar);
        let now_ms = self.now_ms;
        let Entry { links, scheduler, .. } = &mut self.entries[entry];
        let mut ended = Vec::new();
        links[sidecar].broken.retain(|(channel, ..)| {
            let over = over(channel);
            if over {
                ended.extend(channel.attempts.iter().copied());
            }
            !over
        });
        for attempt in &ended {
            scheduler.ended(now_ms, key, *attempt, None);
        }
        for attempt in ended {
            self.note(format!("entry {entry} counts {attempt:?} at {sidecar} as lost"));
        }
        self.carry_out(entry);
    }

    fn at_entry(&mut self, entry: usize, sidecar: usize, message: Message) {
        let now_ms = self.now_ms;
        self.entries[entry].scheduler.observe(now_ms);
        match message {
            Message::Submit { job, call } if self.refuses(entry) => {
                self.note(format!("entry {entry} refuses {job:?}"));
                if self.callers_cut_ms[entry] <= now_ms
                    && self.calls.get(&job) == Some(&(call, entry))
                {
                    self.calls.remove(&job);
                    self.push(now_ms + REFUSED_RETRY_MS, Event::Send { job });
                }
            }
            // Before an entry takes a job, it reads the end of the connection if that has arrived.
            Message::Submit { job, call } if self.closed(entry, call) => {
                self.note(format!("entry {entry} drops {job:?}"));
            }
            Message::Submit { job, call } => {
                let life = self.entries[entry].life;
                let leaves_ms = self.entries[entry].watermark.leaves_ms(DEADLINE_MS);
                if leaves_ms <= now_ms {
                    return self.expire(entry, job, call);
                }
                let message = Message::Close { job, call };
                let event = Event::ToEntry { entry, life, sidecar, message };
                self.push(leaves_ms, event);
                self.entries[entry].waiters.entry(job).or_default().insert(call);
                if !self.entries[entry].scheduler.knows(job) {
                    self.entries[entry].scheduler.submit(now_ms, job, &queue(), new_job());
                }
            }
            Message::Close { job, call } => {
                let waiters = self.entries[entry].waiters.entry(job).or_default();
                if waiters.remove(&call) && waiters.is_empty() {
                    self.entries[entry].waiters.remove(&job);
                    self.entries[entry].scheduler.cancel(job);
                }
            }
            Message::Ended { channel, attempt, outcome, load } => {
                let key = self.key(entry, sidecar);
                let link = &mut self.entries[entry].links[sidecar];
                let channels =
                    link.channel.iter_mut().chain(link.broken.iter_mut().map(|b| &mut b.0));
                let mut waited = false;
                for known in channels.filter(|known| known.id == channel) {
                    waited = known.attempts.remove(&attempt);
                }
                if waited {
                    self.note(format!("entry {entry} hears {attempt:?} at {sidecar} {outcome:?}"));
                    let reply = Reply { outcome, took_ms: 100, clock_ms: 0, load };
                    self.entries[entry].scheduler.ended(now_ms, key, attempt, Some(&reply));
                }
            }
            Message::Status { channel, sent_ms, status } => {
                if now_ms < sent_ms + RENEW_TIMEOUT_MS {
                    self.status(entry, sidecar, channel, status);
                }
            }
            Message::Released { channel, ended: true } => {
                self.terminate(entry, sidecar, |broken| broken.id == channel);
            }
            Message::Released { channel, ended: false } => {
                self.record_left(entry, sidecar, channel);
            }
            Message::Run(_)
            | Message::Renew { .. }
            | Message::Stop { .. }
            | Message::Release { .. } => {}
        }
        self.carry_out(entry);
    }

    /// Answers a caller whose deadline may have passed that its job has expired.
    fn expire(&mut self, entry: usize, job: Id, call: u64) {
        self.note(format!("entry {entry} counts {job:?} as expired"));
        if self.callers_cut_ms[entry] <= self.now_ms {
            self.close(job, call, entry);
        }
    }

    /// Whether the end of a call's connection waits to be read at an entry that is slow.
    fn closed(&self, entry: usize, call: u64) -> bool {
        self.events.values().any(|event| {
            let Event::Slow(event) = event else { return false };
            matches!(**event, Event::ToEntry { entry: at, message: Message::Close { call: of, .. }, .. }
                if at == entry && of == call)
        })
    }

    /// Whether an entry is stopping and has no time for a job.
    fn refuses(&self, entry: usize) -> bool {
        let least_ms = self.now_ms + STOP_TIME_MIN_MS;
        self.stopping[entry].is_some_and(|(_, until_ms)| until_ms <= least_ms)
    }

    /// Ends an entry that is stopping once its callers have their answers, and starts it again.
    fn end_stopping(&mut self, entry: usize) {
        let Some((from_ms, until_ms)) = self.stopping[entry] else { return };
        let idle = self.entries[entry].waiters.is_empty();
        let ended = idle && self.now_ms >= until_ms.min(from_ms + STOP_DELAY_MS);
        if ended || self.now_ms >= until_ms {
            self.note(format!("entry {entry} ends"));
            self.restart_entry(entry);
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        self.stopping[entry] = None;
        self.close_all(entry);
        let life = self.entries[entry].life + 1;
        self.entries[entry] = World::new_entry(self.now_ms, life);
    }

    fn status(&mut self, entry: usize, sidecar: usize, id: work::Entry, status: work::Status) {
        let now_ms = self.now_ms;
        let key = self.key(entry, sidecar);
        let Entry { links, scheduler, .. } = &mut self.entries[entry];
        let link = &mut links[sidecar];
        let current = link.channel.as_ref().is_some_and(|channel| channel.id == id)
            || link.opening.is_some_and(|(opening, _)| opening == id);
        if let Some(server) = status.server.filter(|_| current) {
            scheduler.describe_server(key, status.load.revision, server);
        }
        if link.opening.is_some_and(|(opening, _)| opening == id) {
            link.opening = None;
            link.channel = Some(Channel {
                id,
                incarnation: status.incarnation,
                lease: Lease::new(status.clock_ms, now_ms),
                sent_ms: None,
                next_ms: now_ms + RENEW_INTERVAL_MS,
                skipped: 0,
                attempts: BTreeSet::new(),
            });
            scheduler.connected(key);
            scheduler.update_load(now_ms, key, &status.load);
            return;
        }
        if let Some(channel) = link.channel.as_mut().filter(|channel| channel.id == id) {
            channel.lease.record(status.clock_ms, now_ms);
            channel.sent_ms = None;
            scheduler.update_load(now_ms, key, &status.load);
            return;
        }
        let by = |(_, release, _): &&Broken| release.is_some_and(|(release, _)| release == id);
        let Some((broken, ..)) = link.broken.iter().find(by) else { return };
        let (broken_id, same) = (broken.id, broken.incarnation == status.incarnation);
        if same {
            // The release goes over the connection on which the status arrived.
            let release = Message::Release { channel: broken_id };
            self.send_to_sidecar(entry, sidecar, status.incarnation, release);
        } else if status.clean {
            self.terminate(entry, sidecar, |channel| channel.id == broken_id);
        } else {
            self.record_left(entry, sidecar, broken_id);
        }
    }

    /// Records a sidecar's answer that attempts of a broken connection may be left.
    fn record_left(&mut self, entry: usize, sidecar: usize, id: work::Entry) {
        let now_ms = self.now_ms;
        let broken = &mut self.entries[entry].links[sidecar].broken;
        for (channel, ..) in broken.iter_mut().filter(|(channel, ..)| channel.id == id) {
            channel.lease.record_left(now_ms);
        }
    }

    fn at_sidecar(&mut self, sidecar: usize, entry: usize, message: Message) {
        let clock_ms = self.sidecar_ms(sidecar);
        let state = &mut self.sidecars[sidecar];
        match message {
            Message::Run(command) => {
                if command.lease_until_ms > clock_ms {
                    state.renew(command.entry, command.lease_until_ms);
                }
                state.handle_entry_start(clock_ms, command);
            }
            Message::Renew { channel, lease_until_ms, sent_ms } => {
                if lease_until_ms > clock_ms {
                    state.renew(channel, lease_until_ms);
                }
                let status = work::Status {
                    sidecar: Some(state.name().to_owned()),
                    incarnation: state.incarnation(),
                    clock_ms,
                    clean: state.clean(),
                    load: state.load(clock_ms),
                    server: state.server().map(|(server, _)| server.clone()),
                    members: None,
                };
                self.send_to_entry(entry, sidecar, Message::Status { channel, sent_ms, status });
            }
            Message::Stop { channel, attempt } => state.stop_for(Source::Entry(channel), attempt),
            Message::Release { channel } => {
                let released = state.release(clock_ms, channel);
                let message = Message::Released { channel, ended: released };
                self.send_to_entry(entry, sidecar, message);
            }
            _ => {}
        }
        self.act(sidecar);
    }

    /// Carries out what a sidecar has decided on.
    fn act(&mut self, sidecar: usize) {
        loop {
            let actions = self.sidecars[sidecar].take_actions();
            if actions.starts.is_empty()
                && actions.stops.is_empty()
                && actions.replies.is_empty()
                && actions.checks.is_empty()
            {
                return;
            }
            self.check(sidecar, actions.checks);
            for start in actions.starts {
                self.start(sidecar, start.attempt);
            }
            for attempt in actions.stops {
                self.call(sidecar, Request::Stop(attempt));
            }
            let load = self.sidecars[sidecar].load(self.sidecar_ms(sidecar));
            for (channel, attempt, outcome, _) in actions.replies {
                let entry = self.entry_of[&channel];
                let message = Message::Ended { channel, attempt, outcome, load };
                self.send_to_entry(entry, sidecar, message);
            }
        }
    }

    fn start(&mut self, sidecar: usize, attempt: Attempt) {
        let for_ms = 100 + self.draw(1_800);
        self.next_poll_ms[sidecar] = self.now_ms;
        self.call(sidecar, Request::Start { attempt, for_ms });
    }

    /// Calls a backend server as the sidecar's process does.
    fn call(&mut self, sidecar: usize, request: Request) {
        let sent_ms = self.sidecar_ms(sidecar);
        let state = &mut self.sidecars[sidecar];
        let Some(poll) = state.poll(sent_ms) else { return };
        let Some((server, addr)) = state.server() else { return };
        let known = Identity { server: server.id.clone(), addr };
        let wait_ms = match (state.may_wait(), state.busy()) {
            (false, _) => 0,
            (true, true) => BUSY_WAIT_MS,
            (true, false) => IDLE_WAIT_MS,
        };
        let incarnation = state.incarnation();
        let called = self.process(addr);
        let mut call =
            Call { sidecar, incarnation, known, called, sent_ms, poll, request, grant_late_ms: 0 };
        let limit_ms = match request {
            Request::Start { attempt, .. } if poll.lease_until_ms.is_none() => {
                let result = StartResult::NotStarted(wire::Reason::Unavailable);
                return self.sidecars[sidecar].start_answered(sent_ms, attempt, result);
            }
            Request::Start { .. } | Request::Stop(_) => COMMAND_LIMIT_MS,
            Request::Poll => wait_ms + POLL_LIMIT_MS,
        };
        let fate = match called {
            Some(_) => self.fate(sidecar),
            None => Fate::Refused,
        };
        let fate = match (fate, request) {
            (Fate::Late(_), Request::Poll) => Fate::Answered,
            (fate, _) => fate,
        };
        if let (Fate::Answered, Request::Poll) = (fate, request)
            && self.polls_overtake_ms[sidecar] > self.now_ms
        {
            let by_ms = self.draw(2) * self.draw(OVERTAKEN_MAX_MS);
            self.next_poll_ms[sidecar] = self.now_ms + by_ms.min(wait_ms + POLL_OVERDUE_MS);
            return self.push(self.now_ms + by_ms, Event::Served { call, answered: true });
        }
        let answered = match fate {
            Fate::Answered if self.polls_overtake_ms[sidecar] > self.now_ms => {
                return self.push(self.now_ms + 1, Event::Served { call, answered: true });
            }
            Fate::Answered => {
                let answer = self.serve(call.clone());
                return self.answered(call, answer);
            }
            Fate::Lost => false,
            Fate::Unanswered => {
                self.serve(call.clone());
                false
            }
            Fate::Late(by_ms) => {
                let answered = by_ms < limit_ms;
                self.push(self.now_ms + by_ms, Event::Served { call: call.clone(), answered });
                answered
            }
            Fate::Silent(by_ms) => {
                call.grant_late_ms = by_ms;
                let call = call.clone();
                self.push(self.now_ms + by_ms, Event::Served { call, answered: false });
                false
            }
            Fate::Refused => {
                if let Request::Poll = request {
                    self.next_poll_ms[sidecar] = self.now_ms + REFUSED_PAUSE_MS;
                }
                let answer = match request {
                    Request::Start { .. } => {
                        Answer::Start(StartResult::NotStarted(wire::Reason::NoAnswer))
                    }
                    Request::Stop(_) => Answer::Stop(false),
                    Request::Poll => Answer::Refused,
                };
                self.note(format!("server {sidecar} {request:?} {fate:?}"));
                return self.push(self.now_ms + 1, Event::Answered { call, answer });
            }
        };
        if let Request::Poll = request {
            self.next_poll_ms[sidecar] = self.now_ms + wait_ms + POLL_OVERDUE_MS;
        } else {
            self.note(format!("server {sidecar} {request:?} {fate:?}"));
        }
        if !answered {
            let answer = request.unanswered();
            self.push(self.now_ms + limit_ms, Event::Answered { call, answer });
        }
    }

    /// Draws what becomes of a call. During a disruption, half of the calls are answered.
    fn fate(&mut self, sidecar: usize) -> Fate {
        let now_ms = self.now_ms;
        if self.calls_refused_ms[sidecar] > now_ms {
            return Fate::Refused;
        }
        if self.calls_silent_ms[sidecar] > now_ms {
            return Fate::Silent(self.silent_late_min_ms + self.draw(SILENT_LATE_MAX_MS));
        }
        let lost = self.calls_lost_ms[sidecar] > now_ms;
        let unanswered = self.calls_unanswered_ms[sidecar] > now_ms;
        let late = self.calls_late_ms[sidecar] > now_ms;
        if !(lost || unanswered || late) || self.draw(2) == 0 {
            return Fate::Answered;
        }
        match (lost, unanswered) {
            (true, _) => Fate::Lost,
            (false, true) => Fate::Unanswered,
            (false, false) => Fate::Late(self.draw(LATE_MAX_MS)),
        }
    }

    /// The process that listens at an address.
    fn process(&self, addr: SocketAddr) -> Option<Process> {
        let listens = |server: &BackendServer| server.addr == addr && server.up_ms <= self.now_ms;
        let server = self.servers.iter().position(listens)?;
        Some(Process { server, life: self.servers[server].life })
    }

    /// Carries out a call at the backend server that was called, unless that one has ended.
    fn serve(&mut self, call: Call) -> Answer {
        let Call { sidecar, known, called, mut poll, request, grant_late_ms, .. } = call;
        let process = self.process(known.addr);
        let Some(process) = process.filter(|process| called == Some(*process)) else {
            return request.unanswered();
        };
        if process.server != sidecar || self.servers[sidecar].id.id != known.server.id {
            return request.misdirected();
        }
        poll.lease_until_ms = poll.lease_until_ms.map(|until_ms| until_ms + grant_late_ms);
        let (now_ms, server_ms) = (self.now_ms, self.server_ms(sidecar));
        let elsewhere = |task| {
            let mut servers = self.servers.iter();
            servers.position(|server| server.running.keys().any(|other| other.task == task))
        };
        match request {
            Request::Start { attempt, for_ms } => {
                let elsewhere = elsewhere(attempt.task);
                let server = &mut self.servers[sidecar];
                let accepted = server.accepts(poll.fence);
                if accepted {
                    server.grant(server_ms, poll.lease_until_ms);
                }
                let highest = server.highest.get(&attempt.task);
                let outdated = highest.is_some_and(|highest| *highest >= attempt.number);
                let result = match !accepted || outdated || server.lease_until_ms <= server_ms {
                    true => StartResult::NotStarted(wire::Reason::Expired),
                    false => {
                        server.highest.insert(attempt.task, attempt.number);
                        server.running.insert(attempt, now_ms + for_ms);
                        StartResult::Started
                    }
                };
                self.note(format!("server {sidecar} {attempt:?} {result:?}"));
                if let (StartResult::Started, Some(elsewhere)) = (result, elsewhere) {
                    let broken = format!("{attempt:?} starts at {sidecar} and runs at {elsewhere}");
                    self.broken = Some(broken);
                }
                Answer::Start(result)
            }
            Request::Stop(attempt) => {
                let server = &mut self.servers[sidecar];
                let accepted = server.accepts(poll.fence);
                if accepted {
                    server.end(attempt, queue::Outcome::Stopped);
                    let highest = server.highest.entry(attempt.task).or_default();
                    *highest = attempt.number.max(*highest);
                }
                Answer::Stop(accepted)
            }
            Request::Poll => {
                let server = &mut self.servers[sidecar];
                if !server.accepts(poll.fence) {
                    return Answer::Poll(None);
                }
                server.grant(server_ms, poll.lease_until_ms);
                let listed = |attempt: &Attempt| Running { attempt: *attempt, progress: None };
                let pending = |completion: &&Completion| completion.number > poll.acknowledged;
                let reply = PollReply {
                    clock_ms: server_ms,
                    running: server.running.keys().map(listed).collect(),
                    completions: server.completions.iter().filter(pending).cloned().collect(),
                    truncated: false,
                };
                Answer::Poll(Some(reply).filter(|_| server.id == known.server))
            }
        }
    }

    /// Passes an answer, or that there is none in time, to the process that made the call.
    fn answered(&mut self, call: Call, answer: Answer) {
        let Call { sidecar, incarnation, known, sent_ms, request, .. } = call;
        let clock_ms = self.sidecar_ms(sidecar);
        let state = &mut self.sidecars[sidecar];
        if state.incarnation() != incarnation {
            return;
        }
        let known = state.server().is_some_and(|(server, _)| server.id == known.server);
        match (request, answer) {
            (Request::Start { attempt, .. }, Answer::Start(result)) if known => {
                state.start_answered(clock_ms, attempt, result);
            }
            (Request::Stop(attempt), Answer::Stop(true)) if known => {
                // The list of the next poll is newer, even in the same ms.
                state.stop_confirmed(clock_ms - 1, attempt);
                if self.polls_overtake_ms[sidecar] > self.now_ms {
                    self.push(self.now_ms + 1, Event::PollOnce { sidecar, incarnation });
                }
            }
            (Request::Stop(attempt), Answer::Stop(false)) => {
                let again = Event::StopAgain { sidecar, incarnation, attempt };
                self.push(self.now_ms + STOP_RETRY_MS, again);
            }
            (Request::Poll, Answer::Poll(Some(reply))) if known => {
                state.polled(sent_ms, clock_ms, reply);
            }
            (Request::Poll, Answer::Poll(None)) if known => {
                state.poll_failed(sent_ms, clock_ms, false);
            }
            (Request::Poll, Answer::Refused) if known => {
                state.poll_failed(sent_ms, clock_ms, true);
            }
            _ => {}
        }
    }

    fn poll(&mut self, sidecar: usize) {
        self.call(sidecar, Request::Poll);
        self.act(sidecar);
    }

    /// A caller sends a job to a drawn entry.
    fn send(&mut self, job: Id) {
        let sends = self.sends.entry(job).or_default();
        *sends += 1;
        if *sends > 3 {
            return;
        }
        let entry = self.draw(ENTRIES as u64) as usize;
        self.sequence += 1;
        let call = self.sequence;
        self.calls.insert(job, (call, entry));
        self.note(format!("{job:?} is sent to entry {entry}"));
        let life = self.entries[entry].life;
        let message = Message::Submit { job, call };
        if self.callers_cut_ms[entry] <= self.now_ms {
            self.push(self.now_ms + 1, Event::ToEntry { entry, life, sidecar: 0, message });
        }
        self.push(self.now_ms + DEADLINE_MS, Event::Expire { job, call, entry });
    }

    /// The connection between a caller and its entry closes. The entry does not hear of it if the
    /// connection is cut.
    fn close(&mut self, job: Id, call: u64, entry: usize) {
        if self.calls.get(&job) != Some(&(call, entry)) {
            return;
        }
        self.calls.remove(&job);
        self.note(format!("{job:?} at entry {entry} leaves"));
        let life = self.entries[entry].life;
        let message = Message::Close { job, call };
        if self.callers_cut_ms[entry] <= self.now_ms {
            self.push(self.now_ms + 1, Event::ToEntry { entry, life, sidecar: 0, message });
        }
        self.push(self.now_ms + RETRY_MS, Event::Send { job });
    }

    /// All connections between an entry and its callers break. Over a cut one no caller hears of
    /// that before its deadline.
    fn close_all(&mut self, entry: usize) {
        if self.callers_cut_ms[entry] > self.now_ms {
            return;
        }
        let calls: Vec<(Id, u64)> = self
            .calls
            .iter()
            .filter(|(_, (_, at))| *at == entry)
            .map(|(job, (call, _))| (*job, *call))
            .collect();
        for (job, call) in calls {
            self.close(job, call, entry);
        }
    }

    fn fault(&mut self, fault: Fault) {
        let Fault { kind, target, other, for_ms } = fault;
        let (entry, sidecar) = (target % ENTRIES, other % SERVERS);
        let until_ms = self.now_ms + for_ms;
        self.note(format!("fault {kind} entry {entry} sidecar {sidecar} until {until_ms}"));
        later(&mut self.calm_ms, until_ms);
        match kind {
            0 => later(&mut self.entry_paused_ms[entry], until_ms),
            1 => later(&mut self.sidecar_paused_ms[sidecar], until_ms),
            2 => later(&mut self.stalled_ms[entry][sidecar], until_ms),
            3 => {
                self.restart_entry(entry);
            }
            4 => {
                let generation = self.sidecars[sidecar].incarnation() + 1;
                self.sidecars[sidecar] = self.new_sidecar(sidecar, generation);
                for entry in 0..ENTRIES {
                    self.break_link(entry, sidecar);
                }
            }
            5 => self.restart_server(sidecar, claims::Restart::default()),
            6 => self.close_all(entry),
            7 => self.stalled_ms[entry].iter_mut().for_each(|stalled| later(stalled, until_ms)),
            8 => later(&mut self.calls_lost_ms[sidecar], until_ms),
            9 => later(&mut self.calls_unanswered_ms[sidecar], until_ms),
            10 => later(&mut self.calls_late_ms[sidecar], until_ms),
            11 => later(&mut self.calls_silent_ms[sidecar], until_ms),
            12 => later(&mut self.polls_overtake_ms[sidecar], until_ms),
            13 => {
                let process = if target % 2 == 0 { entry } else { ENTRIES + sidecar };
                later(&mut self.slow_ms[process], until_ms);
            }
            14 => {
                self.stopping[entry].get_or_insert((self.now_ms, until_ms));
            }
            15 => later(&mut self.calls_refused_ms[sidecar], until_ms),
            16 => later(&mut self.callers_cut_ms[entry], until_ms),
            17..=24 => self.claim_fault(kind, sidecar, for_ms),
            _ => unreachable!("no fault of kind {kind}"),
        }
    }

    /// The process that handles an event, if it is slow.
    fn slow_process(&self, event: &Event) -> Option<usize> {
        let process = match event {
            Event::ToEntry { entry, .. } => *entry,
            Event::ToSidecar { sidecar, .. }
            | Event::StopAgain { sidecar, .. }
            | Event::PollOnce { sidecar, .. } => ENTRIES + sidecar,
            Event::Answered { call, .. } => ENTRIES + call.sidecar,
            Event::Claim(step) => match step.sidecar() {
                Some(sidecar) => ENTRIES + sidecar,
                None => return None,
            },
            _ => return None,
        };
        let paused = match process.checked_sub(ENTRIES) {
            None => self.entry_paused_ms[process] + READ_DELAY_MS > self.now_ms,
            Some(sidecar) => self.sidecar_paused_ms[sidecar] > self.now_ms,
        };
        if paused {
            // It is slow once the pause is over.
            return None;
        }
        self.asleep(process).then_some(process)
    }

    /// Whether a process is slow and reads no messages now.
    fn asleep(&self, process: usize) -> bool {
        let slow = self.slow_ms[process] > self.now_ms && self.wake_ms[process] < self.now_ms;
        slow || self.read_ms[process] > self.now_ms
    }

    /// Draws when a slow process runs next. It handles its timers before or after its messages.
    fn draw_wake(&mut self, process: usize) {
        if self.slow_ms[process] > self.now_ms && self.read_ms[process] < self.now_ms {
            let late_ms = SLOW_MIN_MS + self.draw(SLOW_MAX_MS - SLOW_MIN_MS);
            self.wake_ms[process] = self.now_ms + late_ms;
            self.read_ms[process] = self.wake_ms[process] + READ_DELAY_MS * self.draw(2);
        }
    }

    /// Whether a process handles a timer that is due at every `interval_ms` and `at_ms`. A slow one
    /// handles all its timers when it runs.
    fn due(&self, process: usize, interval_ms: u64, at_ms: u64) -> bool {
        let slow = self.slow_ms[process] > self.now_ms || self.read_ms[process] > self.now_ms;
        match slow || self.wake_ms[process] == self.now_ms {
            true => self.wake_ms[process] == self.now_ms,
            false => self.now_ms % interval_ms == at_ms,
        }
    }

    /// Moves a poll that is on its way to this moment, before a call that is carried out.
    fn move_poll(&mut self, sidecar: usize) {
        let polls = |(_, event): &(&(u64, u64), &Event)| {
            matches!(event, Event::Served { call, answered: true }
                if call.sidecar == sidecar && matches!(call.request, Request::Poll))
        };
        let moved = self.events.iter().find(polls).map(|(at, _)| *at);
        if let Some(event) = moved.and_then(|at| self.events.remove(&at)) {
            self.handle((self.now_ms, 0), event);
        }
    }

    fn handle(&mut self, at: (u64, u64), event: Event) {
        if let Some(process) = self.slow_process(&event) {
            self.draw_wake(process);
            let late_ms = self.read_ms[process];
            return self.push(late_ms, Event::Slow(Box::new(event)));
        }
        self.handle_now(at, event);
    }

    fn handle_now(&mut self, at: (u64, u64), event: Event) {
        match event {
            Event::Slow(event) => self.handle_now(at, *event),
            Event::PollOnce { sidecar, incarnation } => {
                if self.sidecar_paused_ms[sidecar] > self.now_ms {
                    let event = Event::PollOnce { sidecar, incarnation };
                    self.events.insert((self.sidecar_paused_ms[sidecar], at.1), event);
                } else if self.sidecars[sidecar].incarnation() == incarnation {
                    self.poll(sidecar);
                }
            }
            Event::ToEntry { entry, life, sidecar, message } => {
                let read_ms = self.entry_paused_ms[entry] + READ_DELAY_MS;
                if read_ms > self.now_ms {
                    let event = Event::ToEntry { entry, life, sidecar, message };
                    self.events.insert((read_ms, at.1), event);
                } else if self.entries[entry].life == life {
                    self.at_entry(entry, sidecar, message);
                }
            }
            Event::ToSidecar { sidecar, entry, life, incarnation, sent_ms, message } => {
                if self.sidecar_paused_ms[sidecar] > self.now_ms {
                    let event =
                        Event::ToSidecar { sidecar, entry, life, incarnation, sent_ms, message };
                    self.events.insert((self.sidecar_paused_ms[sidecar], at.1), event);
                } else if self.canceled(entry, life, sent_ms, &message) {
                    self.note(format!("entry {entry} canceled {message:?} at {sidecar}"));
                } else if self.sidecars[sidecar].incarnation() == incarnation {
                    self.at_sidecar(sidecar, entry, message);
                }
            }
            Event::Send { job } => self.send(job),
            Event::Expire { job, call, entry } => self.close(job, call, entry),
            Event::Claim(step) => {
                let paused_ms = step.sidecar().map_or(0, |sidecar| self.sidecar_paused_ms[sidecar]);
                match paused_ms > self.now_ms {
                    true => drop(self.events.insert((paused_ms, at.1), Event::Claim(step))),
                    false => self.claim(step),
                }
            }
            Event::Served { call, answered } => {
                let sidecar = call.sidecar;
                let is_poll = matches!(call.request, Request::Poll);
                let overtakes = self.polls_overtake_ms[sidecar] > self.now_ms;
                if overtakes && !is_poll && self.draw(2) == 0 {
                    self.move_poll(sidecar);
                }
                let answer = self.serve(call.clone());
                if answered && is_poll && overtakes {
                    let by_ms = self.draw(OVERTAKEN_MAX_MS);
                    self.push(self.now_ms + by_ms, Event::Answered { call, answer });
                } else if answered {
                    self.handle(at, Event::Answered { call, answer });
                }
                if overtakes && !is_poll && self.draw(2) == 0 {
                    // It may be carried out in the same millisecond.
                    let incarnation = self.sidecars[sidecar].incarnation();
                    self.push(self.now_ms, Event::PollOnce { sidecar, incarnation });
                }
            }
            Event::Answered { call, answer } => {
                let sidecar = call.sidecar;
                if self.sidecar_paused_ms[sidecar] > self.now_ms {
                    let event = Event::Answered { call, answer };
                    self.events.insert((self.sidecar_paused_ms[sidecar], at.1), event);
                } else {
                    self.answered(call, answer);
                    self.act(sidecar);
                }
            }
            Event::StopAgain { sidecar, incarnation, attempt } => {
                if self.sidecar_paused_ms[sidecar] > self.now_ms {
                    let event = Event::StopAgain { sidecar, incarnation, attempt };
                    self.events.insert((self.sidecar_paused_ms[sidecar], at.1), event);
                } else if self.sidecars[sidecar].incarnation() == incarnation
                    && self.sidecars[sidecar].stop_due(attempt)
                {
                    self.call(sidecar, Request::Stop(attempt));
                    self.act(sidecar);
                }
            }
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// Plays the drawn faults. Returns the trace, as an error if a task has two runs at the same time,
    /// or if a sidecar may not start attempts at its backend server for long after the last fault.
    pub fn play(mut self, faults: &[Drawn]) -> Result<Vec<String>, String> {
        for job in 0..40 {
            self.push(500 + 100 * job, Event::Send { job: Id(job) });
        }
        for (kind, at, target, length) in faults {
            let fault = Fault {
                kind: *kind,
                target: usize::from(*target),
                other: usize::from(*target / 16),
                for_ms: u64::from(*length) % 3_500,
            };
            self.push(500 + u64::from(*at) % 5_000, Event::Fault(fault));
        }
        self.begin_announcements();
        while self.now_ms < END_MS.max(self.calm_ms + USED_AGAIN_MS) {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            for sidecar in 0..SERVERS {
                let clock_ms = self.server_ms(sidecar);
                self.servers[sidecar].advance(now_ms, clock_ms);
            }
            while let Some(slot) = self.events.first_entry().filter(|slot| slot.key().0 <= now_ms) {
                let (at, event) = slot.remove_entry();
                self.handle(at, event);
            }
            for sidecar in 0..SERVERS {
                if self.sidecar_paused_ms[sidecar] <= now_ms {
                    let process = ENTRIES + sidecar;
                    let polls = self.due(process, POLL_MS, sidecar as u64);
                    let ticks = self.due(process, TICK_MS, 10 + sidecar as u64);
                    self.draw_wake(process);
                    if polls && self.next_poll_ms[sidecar] <= now_ms {
                        self.poll(sidecar);
                    }
                    if ticks {
                        let clock_ms = self.sidecar_ms(sidecar);
                        self.sidecars[sidecar].tick(clock_ms);
                        self.act(sidecar);
                    }
                }
            }
            for entry in 0..ENTRIES {
                if self.entry_paused_ms[entry] <= now_ms {
                    let maintains = self.due(entry, 5, entry as u64);
                    let ticks = self.due(entry, 25, entry as u64);
                    self.draw_wake(entry);
                    self.end_stopping(entry);
                    if maintains {
                        (0..SERVERS).for_each(|sidecar| self.maintain(entry, sidecar));
                    }
                    if ticks {
                        self.entries[entry].watermark.tick(now_ms);
                        self.entries[entry].scheduler.observe(now_ms);
                        self.entries[entry].scheduler.tick(now_ms);
                        self.carry_out(entry);
                    }
                }
            }
            if let Some(broken) = self.broken.take() {
                return Err(format!("{broken}\n{}", self.trace.join("\n")));
            }
        }
        match self.unused() {
            Some(unused) => Err(format!("{unused}\n{}", self.trace.join("\n"))),
            None => Ok(self.trace),
        }
    }
}

fn later(time_ms: &mut u64, until_ms: u64) {
    *time_ms = until_ms.max(*time_ms);
}

fn queue() -> Queue {
    Queue {
        service: "quotes".to_owned(),
        max_attempts: 3,
        slo_factor_milli: 1_500,
        slo_ms: 5_000,
        ..Queue::default()
    }
}

fn new_job() -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let step = Step { tasks: 2, needs, estimate_ms: 900, ..Step::default() };
    Job::new("spec".to_owned(), vec![step])
}
