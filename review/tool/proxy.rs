//! A TCP proxy for one machine's path to another one. It shows the other machine under an address
//! of its own: wherever the real address stands in what is sent back, it is replaced by the proxy's,
//! as network address translation does. While it is cut, it passes nothing on and answers nothing.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Proxy {
    cut: Arc<AtomicBool>,
    delay: Arc<Delay>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Delays one message to the other machine.
#[derive(Default)]
struct Delay {
    /// How long the next message is delayed, in ms; 0 for not at all.
    next_ms: AtomicU64,
    /// Messages passed on since one was delayed.
    passed: AtomicU64,
}

impl Proxy {
    /// Hosts of the real machine's network whose last byte is below `hosts` are shown under the
    /// proxies' network.
    pub fn start(real: [u8; 4], shown: [u8; 4], port: u16, hosts: u8) -> Proxy {
        let listener =
            TcpListener::bind(SocketAddr::from((shown, port))).expect("the proxy's port is free");
        let proxy = Proxy { cut: Arc::default(), delay: Arc::default(), open: Arc::default() };
        let (cut, open) = (proxy.cut.clone(), proxy.open.clone());
        let delay = proxy.delay.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (cut, open, delay) = (cut.clone(), open.clone(), delay.clone());
                thread::spawn(move || {
                    // A new connection gets no answer during a cut.
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(10));
                    }
                    let Ok(server) = TcpStream::connect(SocketAddr::from((real, port))) else {
                        return;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    for stream in [&client, &server] {
                        open.lock().unwrap().extend(stream.try_clone());
                    }
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let up = cut.clone();
                    thread::spawn(move || pass(from, to, &up, Some(&delay), None));
                    pass(server, client, &cut, None, Some((real, shown, hosts)));
                });
            }
        });
        proxy
    }

    /// Delays the next message to the other machine.
    pub fn delay_next(&self, ms: u64) {
        self.delay.passed.store(u64::MAX / 2, Ordering::SeqCst);
        self.delay.next_ms.store(ms, Ordering::SeqCst);
    }

    /// Number of messages that were passed on since the one that was delayed, once it has been.
    pub fn passed(&self) -> Option<u64> {
        let passed = self.delay.passed.load(Ordering::SeqCst);
        (passed < u64::MAX / 2).then_some(passed)
    }

    /// Starts or ends a cut. What is open then stays silent, and is reset at the end of the cut.
    pub fn cut(&self, cut: bool) {
        if !cut {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &AtomicBool,
    delay: Option<&Delay>,
    shown: Option<([u8; 4], [u8; 4], u8)>,
) {
    let mut buffer = vec![0; 64 * 1024];
    let mut held = Vec::new();
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        if cut.load(Ordering::SeqCst) {
            // Lost: the connection has to be opened again.
            while cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            break;
        }
        held.extend_from_slice(&buffer[..count]);
        if let Some((real, shown, hosts)) = shown {
            // The machines differ in the last byte only.
            for at in 0..held.len().saturating_sub(3) {
                if held[at..at + 3] == real[..3] && (10..hosts).contains(&held[at + 3]) {
                    held[at + 2] = shown[2];
                }
            }
        }
        let delay_ms = delay.map_or(0, |delay| delay.next_ms.swap(0, Ordering::SeqCst));
        thread::sleep(Duration::from_millis(delay_ms));
        if to.write_all(&held).is_err() {
            break;
        }
        if let Some(delay) = delay {
            match delay_ms {
                0 => delay.passed.fetch_add(1, Ordering::SeqCst),
                _ => delay.passed.swap(0, Ordering::SeqCst),
            };
        }
        held.clear();
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
