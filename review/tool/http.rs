//! HTTP/1.1 with bodies of a stated length: a client for single calls and a server that can be
//! closed at once, as when its process dies.

use std::{
    io::{BufRead, BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        match (line.is_empty(), lines.is_empty()) {
            (true, true) => {}
            (true, false) => break,
            (false, _) => lines.push(line),
        }
    }
    let first = lines.remove(0);
    let split = |line: &String| {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        (name.trim().to_owned(), value.trim().to_owned())
    };
    let headers: Vec<(String, String)> = lines.iter().map(split).collect();
    let mut message = Message { first, headers, body: String::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(message)
}

/// Sends one call on a connection of its own. Returns the status and the body, or `None` if there
/// is no whole answer within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    call_on(&stream, addr, method, path, headers, body, limit)
}

/// Sends one call on a given connection.
pub fn call_on(
    mut stream: &TcpStream,
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut BufReader::new(stream)).ok()?;
    let status = answer.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.body))
}

/// A listening server.
pub struct Server {
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(Message) -> (u16, String) + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let server = Server { closed: Arc::default(), connections: Arc::default() };
        let (closed, connections) = (server.closed.clone(), server.connections.clone());
        let handler = Arc::new(handler);
        thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let (handler, closed) = (handler.clone(), closed.clone());
                thread::spawn(move || serve(stream, &*handler, &closed));
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections, as the death of a process does.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Message) -> (u16, String), closed: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(request) = read_message(&mut reader) {
        let (status, body) = handler(request);
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if (&stream).write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
