//! A fake backend server with slots and a short queue, and a virtual clock.

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
pub const QUEUE: usize = 4;
/// Run time of a task at a server that fails all of them.
const FAILURE_US: Micros = 2_000;

/// Events in order of time; those of the same time in order of insertion.
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

    pub fn at(&mut self, time: Micros, event: E) {
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
    Good,
    /// Fails every task at once.
    Failing,
    /// Neither ends nor starts anything; the queue still takes and refuses.
    Frozen,
    Dead,
}

/// An attempt at a server.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    pub entry: usize,
    pub attempt: id::Attempt,
    /// Run time at speed 1.
    pub work_us: f64,
}

/// An answer to an entry.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub held: Held,
    pub load: Option<Load>,
    pub ended: Ended,
}

#[derive(Debug)]
pub struct Server {
    pub speed: f64,
    pub mode: Mode,
    /// Changes with each restart.
    pub incarnation: id::Incarnation,
    queue: VecDeque<Held>,
    /// Ends of the attempts that run; a frozen one has none.
    running: Vec<(Held, Micros, Micros)>,
}

impl Server {
    pub fn new(incarnation: u64, speed: f64) -> Self {
        let incarnation = id::Incarnation(incarnation);
        let (queue, running) = (VecDeque::new(), Vec::new());
        Self { speed, mode: Mode::Good, incarnation, queue, running }
    }

    /// Takes an attempt; gives the answer if there is one at once.
    pub fn take(&mut self, now: Micros, held: Held, to: id::Incarnation) -> Option<Answer> {
        let refusal = if self.mode == Mode::Dead {
            Some(NotStarted::Unreachable)
        } else if to != self.incarnation {
            Some(NotStarted::WrongIncarnation)
        } else if self.running.len() == usize::from(SLOTS) && self.queue.len() == QUEUE {
            Some(NotStarted::Full)
        } else {
            None
        };
        if let Some(reason) = refusal {
            return Some(self.answer(held, Ended::NotStarted(reason)));
        }
        self.queue.push_back(held);
        self.fill(now);
        None
    }

    /// When the next attempt ends.
    pub fn next_end(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.2).min().filter(|end| *end < Micros::MAX)
    }

    /// Ends what is due by now.
    pub fn end(&mut self, now: Micros) -> Vec<Answer> {
        let mut answers = Vec::new();
        if matches!(self.mode, Mode::Frozen | Mode::Dead) {
            return answers;
        }
        while let Some(at) = self.running.iter().position(|r| r.2 <= now) {
            let (held, start, _) = self.running.remove(at);
            let ran_us = now - start;
            let failing = self.mode == Mode::Failing;
            let ended = if failing { Ended::Failed { ran_us } } else { Ended::Done { ran_us } };
            answers.push(self.answer(held, ended));
        }
        self.fill(now);
        answers
    }

    /// Ends all attempts of a run.
    pub fn cancel(&mut self, now: Micros, entry: usize, execution: id::Execution) -> Vec<Answer> {
        let is_of = |held: &Held| held.entry == entry && held.attempt.execution == execution;
        let mut answers = Vec::new();
        while let Some(at) = self.queue.iter().position(is_of) {
            if let Some(held) = self.queue.remove(at) {
                answers.push(self.answer(held, Ended::NotStarted(NotStarted::Revoked)));
            }
        }
        while let Some(at) = self.running.iter().position(|r| is_of(&r.0)) {
            let (held, start, _) = self.running.remove(at);
            answers.push(self.answer(held, Ended::Failed { ran_us: now - start }));
        }
        if self.mode != Mode::Frozen {
            self.fill(now);
        }
        answers
    }

    /// Changes the mode. A dead server loses what it holds, and the connections tell.
    pub fn set_mode(&mut self, now: Micros, mode: Mode) -> Vec<Answer> {
        let thawed = self.mode == Mode::Frozen;
        self.mode = mode;
        match mode {
            Mode::Dead => {
                let held = self.running.drain(..).map(|r| r.0).chain(self.queue.drain(..));
                held.map(|held| Answer { held, load: None, ended: Ended::Lost }).collect()
            }
            Mode::Frozen => {
                self.running.iter_mut().for_each(|r| r.2 = Micros::MAX);
                Vec::new()
            }
            Mode::Good | Mode::Failing => {
                for (held, start, end) in self.running.iter_mut().filter(|_| thawed) {
                    *end = now.max(*start + (held.work_us / self.speed) as Micros);
                }
                self.fill(now);
                Vec::new()
            }
        }
    }

    fn fill(&mut self, now: Micros) {
        while self.running.len() < usize::from(SLOTS) {
            let Some(held) = self.queue.pop_front() else { return };
            let end = match self.mode {
                Mode::Failing => now + FAILURE_US,
                Mode::Frozen | Mode::Dead => Micros::MAX,
                Mode::Good => now + ((held.work_us / self.speed) as Micros).max(1),
            };
            self.running.push((held, now, end));
        }
    }

    fn answer(&self, held: Held, ended: Ended) -> Answer {
        let (busy, queued) = (self.running.len() as u16, self.queue.len() as u16);
        let load = (self.mode != Mode::Dead).then_some(Load { slots: SLOTS, busy, queued });
        Answer { held, load, ended }
    }
}
