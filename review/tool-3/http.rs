//! HTTP/1.1 as clients, the operator and the runners of the platform speak it.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A response: its status and its whole body.
pub type Response = (u16, String);

/// Sends a request over a connection of its own. `Err` if no whole response has come within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Result<Response, String> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).ok();
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).map_err(|e| e.to_string())?;
    stream.write_all(body.as_bytes()).map_err(|e| e.to_string())?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(stream);
    let (first, length, _) = head_of(&mut reader)?.ok_or("closed without a response")?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).map_err(|e| e.to_string())?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Reads the head of a message: its first line, the length of its body and its headers.
#[allow(clippy::type_complexity)]
pub fn head_of(
    reader: &mut impl BufRead,
) -> Result<Option<(String, usize, Vec<(String, String)>)>, String> {
    let mut first = String::new();
    if reader.read_line(&mut first).map_err(|e| e.to_string())? == 0 {
        return Ok(None);
    }
    let (mut length, mut headers) = (0, Vec::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(|e| e.to_string())? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), length, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
            if name == "content-length" {
                length = value.parse().map_err(|_| "length")?;
            }
            headers.push((name, value));
        }
    }
}

/// Writes a JSON response that keeps the connection open.
pub fn answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}
