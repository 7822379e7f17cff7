//! A TCP proxy for one machine's path to another one. It shows the other machine under an address
//! of its own: wherever the real address stands in what is sent back, it is replaced by the proxy's,
//! as network address translation does. While it is cut, it passes nothing on and answers nothing.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Proxy {
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(real: [u8; 4], shown: [u8; 4], port: u16) -> Proxy {
        let listener = TcpListener::bind(SocketAddr::from((shown, port))).expect("the proxy's port is free");
        let proxy = Proxy { cut: Arc::default(), open: Arc::default() };
        let (cut, open) = (proxy.cut.clone(), proxy.open.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (cut, open) = (cut.clone(), open.clone());
                thread::spawn(move || {
                    // A new connection gets no answer during a cut.
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(10));
                    }
                    let Ok(server) = TcpStream::connect(SocketAddr::from((real, port))) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    for stream in [&client, &server] {
                        open.lock().unwrap().extend(stream.try_clone());
                    }
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
                    let up = cut.clone();
                    thread::spawn(move || pass(from, to, &up, None));
                    // All control instances are shown under the proxies' network.
                    pass(server, client, &cut, Some((real, shown)));
                });
            }
        });
        proxy
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
    shown: Option<([u8; 4], [u8; 4])>,
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
        if let Some((real, shown)) = shown {
            // The control instances differ in the last byte only.
            for at in 0..held.len().saturating_sub(3) {
                if held[at..at + 3] == real[..3] && (10..30).contains(&held[at + 3]) {
                    held[at + 2] = shown[2];
                }
            }
        }
        if to.write_all(&held).is_err() {
            break;
        }
        held.clear();
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
