//! A TCP proxy for one machine's path to a control instance. It shows the instance under an address of its
//! own: in what is sent back, the network of the instances is replaced by the proxy's, as address translation does.

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
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// While it is cut, it passes nothing on.
    cut: AtomicBool,
    /// Whether it closes connections during a cut; otherwise it answers nothing.
    refuse: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// Addresses that begin with the first three bytes of `real` are shown with those of `shown`.
    pub fn start(real: [u8; 4], shown: [u8; 4], port: u16) -> Proxy {
        let listener =
            TcpListener::bind(SocketAddr::from((shown, port))).expect("the proxy's port is free");
        let state = Arc::<State>::default();
        let kept = state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(client, real, shown, port, &state));
            }
        });
        Proxy { state: kept }
    }

    /// Starts a cut. What is open stays silent until its end, or is closed at once.
    pub fn cut(&self, refuse: bool) {
        self.state.refuse.store(refuse, Ordering::SeqCst);
        self.state.cut.store(true, Ordering::SeqCst);
        if refuse {
            self.close();
        }
    }

    pub fn heal(&self) {
        self.close();
        self.state.cut.store(false, Ordering::SeqCst);
    }

    fn close(&self) {
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl State {
    /// Waits for the end of a cut. Returns false if connections are closed meanwhile.
    fn wait(&self) -> bool {
        while self.cut.load(Ordering::SeqCst) {
            if self.refuse.load(Ordering::SeqCst) {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

fn serve(client: TcpStream, real: [u8; 4], shown: [u8; 4], port: u16, state: &Arc<State>) {
    if !state.wait() {
        return;
    }
    let Ok(server) = TcpStream::connect(SocketAddr::from((real, port))) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    for stream in [&client, &server] {
        state.open.lock().unwrap().extend(stream.try_clone());
    }
    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
    let up = state.clone();
    thread::spawn(move || pass(from, to, &up, None));
    pass(server, client, state, Some((real, shown)));
}

fn pass(mut from: TcpStream, mut to: TcpStream, state: &State, nets: Option<([u8; 4], [u8; 4])>) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        // What comes during a cut is lost, and the connection has to be opened again.
        if count == 0 || state.cut.load(Ordering::SeqCst) {
            state.wait();
            break;
        }
        let data = &mut buffer[..count];
        if let Some((real, shown)) = nets {
            for at in 0..data.len().saturating_sub(3) {
                if data[at..at + 3] == real[..3] && (1..=9).contains(&data[at + 3]) {
                    data[at + 2] = shown[2];
                }
            }
        }
        if to.write_all(data).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
