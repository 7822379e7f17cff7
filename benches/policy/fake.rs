//! A simulated backend server with slots and a short queue, and a virtual clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use briargauge::{
    coordination::dispatch::{Ended, Micros},
    protocol::{
        id,
        wire::sidecar::{Load, NotStarted},
    },
};

pub const SLOTS: u16 = 8;
pub const QUEUE_MAX: usize = 4;
/// Run time of a task on a server in `Mode::Failing`.
const FAILURE_RUN_US: Micros = 2_000;

/// Yields events in order of time, and those of the same time in order of insertion.
#[derive(Debug)]
pub struct Clock<E> {
    pub now: Micros,
    heap: BinaryHeap<Reverse<(Micros, usize)>>,
    events: Vec<Option<E>>,
}

impl<E> Clock<E> {
    pub fn new() -> Self {
        Self { now: 1, heap: BinaryHeap::new(), events: Vec::new() }
    }

    pub fn schedule(&mut self, time: Micros, event: E) {
        self.heap.push(Reverse((time.max(self.now), self.events.len())));
        self.events.push(Some(event));
    }

    pub fn next(&mut self) -> Option<E> {
        let Reverse((time, at)) = self.heap.pop()?;
        self.now = time;
        self.events[at].take()
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    Healthy,
    /// Every task that starts fails after `FAILURE_RUN_US`.
    Failing,
    /// No attempt ends, but the server still accepts attempts until slots and queue are full, and
    /// then refuses them.
    Frozen,
    Dead,
}

/// An attempt that an entry has sent to a server.
#[derive(Debug, Clone, Copy)]
pub struct StartCall {
    pub entry: usize,
    pub attempt: id::Attempt,
    /// Run time at speed 1.
    pub work_us: f64,
}

/// The reply of a server to the entry that sent the attempt.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    pub call: StartCall,
    pub load: Option<Load>,
    pub ended: Ended,
}

#[derive(Debug)]
pub struct Server {
    pub speed: f64,
    pub mode: Mode,
    /// A new number after each restart.
    pub incarnation: id::Incarnation,
    queue: VecDeque<StartCall>,
    /// Attempts with their start and end times; on a frozen server the end is `Micros::MAX`.
    running: Vec<(StartCall, Micros, Micros)>,
}

impl Server {
    pub fn new(incarnation: u64, speed: f64) -> Self {
        let incarnation = id::Incarnation(incarnation);
        let (queue, running) = (VecDeque::new(), Vec::new());
        Self { speed, mode: Mode::Healthy, incarnation, queue, running }
    }

    /// Queues an attempt and starts it if a slot is free. Returns the reply if it is refused.
    pub fn receive(&mut self, now: Micros, call: StartCall, to: id::Incarnation) -> Option<Reply> {
        let refusal = if self.mode == Mode::Dead {
            Some(NotStarted::Unreachable)
        } else if to != self.incarnation {
            Some(NotStarted::WrongIncarnation)
        } else if self.running.len() == usize::from(SLOTS) && self.queue.len() == QUEUE_MAX {
            Some(NotStarted::Full)
        } else {
            None
        };
        if let Some(reason) = refusal {
            return Some(self.reply(call, Ended::NotStarted(reason)));
        }
        self.queue.push_back(call);
        self.start_queued(now);
        None
    }

    /// When the next running attempt ends; `None` if none is due to end.
    pub fn next_completion(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.2).min().filter(|end| *end < Micros::MAX)
    }

    /// Completes the running attempts that end by `now`, and starts queued ones.
    pub fn complete_due(&mut self, now: Micros) -> Vec<Reply> {
        let mut replies = Vec::new();
        if matches!(self.mode, Mode::Frozen | Mode::Dead) {
            return replies;
        }
        while let Some(at) = self.running.iter().position(|r| r.2 <= now) {
            let (call, start, _) = self.running.remove(at);
            let ran_us = now - start;
            let failing = self.mode == Mode::Failing;
            let ended = if failing { Ended::Failed { ran_us } } else { Ended::Done { ran_us } };
            replies.push(self.reply(call, ended));
        }
        self.start_queued(now);
        replies
    }

    /// Ends all attempts of an execution, queued or running.
    pub fn cancel(&mut self, now: Micros, entry: usize, execution: id::Execution) -> Vec<Reply> {
        let belongs = |call: &StartCall| call.entry == entry && call.attempt.execution == execution;
        let mut replies = Vec::new();
        while let Some(at) = self.queue.iter().position(belongs) {
            if let Some(call) = self.queue.remove(at) {
                replies.push(self.reply(call, Ended::NotStarted(NotStarted::Revoked)));
            }
        }
        while let Some(at) = self.running.iter().position(|r| belongs(&r.0)) {
            let (call, start, _) = self.running.remove(at);
            replies.push(self.reply(call, Ended::Failed { ran_us: now - start }));
        }
        if self.mode != Mode::Frozen {
            self.start_queued(now);
        }
        replies
    }

    /// Changes the mode. A server that dies loses its attempts; each entry is notified by its
    /// broken connection, which is returned as `Ended::Lost`.
    pub fn set_mode(&mut self, now: Micros, mode: Mode) -> Vec<Reply> {
        let was_frozen = self.mode == Mode::Frozen;
        self.mode = mode;
        match mode {
            Mode::Dead => {
                let lost = self.running.drain(..).map(|r| r.0).chain(self.queue.drain(..));
                lost.map(|call| Reply { call, load: None, ended: Ended::Lost }).collect()
            }
            Mode::Frozen => {
                self.running.iter_mut().for_each(|r| r.2 = Micros::MAX);
                Vec::new()
            }
            Mode::Healthy | Mode::Failing => {
                for (call, start, end) in self.running.iter_mut().filter(|_| was_frozen) {
                    *end = now.max(*start + (call.work_us / self.speed) as Micros);
                }
                self.start_queued(now);
                Vec::new()
            }
        }
    }

    fn start_queued(&mut self, now: Micros) {
        while self.running.len() < usize::from(SLOTS) {
            let Some(call) = self.queue.pop_front() else { return };
            let end = match self.mode {
                Mode::Failing => now + FAILURE_RUN_US,
                Mode::Frozen | Mode::Dead => Micros::MAX,
                Mode::Healthy => now + ((call.work_us / self.speed) as Micros).max(1),
            };
            self.running.push((call, now, end));
        }
    }

    fn reply(&self, call: StartCall, ended: Ended) -> Reply {
        let (busy, queued) = (self.running.len() as u16, self.queue.len() as u16);
        let load = (self.mode != Mode::Dead).then_some(Load { slots: SLOTS, busy, queued });
        Reply { call, load, ended }
    }
}
