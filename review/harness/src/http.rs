//! HTTP/1.1 as the stand-ins speak it: requests and responses with `Content-Length`.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response: its first line, headers in lower case, and body.
#[derive(Debug)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads one message. `None` at the end of the channel before its first byte.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut piece = [0; 16 * 1024];
    let head = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut piece)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(head + 4);
    while body.len() < length {
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => body.extend_from_slice(&piece[..count]),
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Message { line, headers, body }))
}

pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// A channel that is kept open for several requests.
pub struct Channel {
    pub stream: TcpStream,
}

impl Channel {
    pub fn open(addr: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
        stream.set_nodelay(true)?;
        Ok(Channel { stream })
    }

    pub fn send(&mut self, method: &str, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for a response. An error of kind `UnexpectedEof` means that the channel has ended.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        read(&mut self.stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request on a channel of its own.
pub fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut channel = Channel::open(addr)?;
    channel.send(method, path, headers, body)?;
    channel.receive(limit)
}
