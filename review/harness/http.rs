//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, v)| decode(v))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(key, _)| key == name);
    found.next().map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' => {
                let hex = text.get(at + 1..at + 3).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Head = (String, Vec<(String, String)>);

/// Reads a start line and headers; names become lower case.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut start = String::new();
    loop {
        start.clear();
        if reader.read_line(&mut start).ok()? == 0 {
            return None;
        }
        if !start.trim().is_empty() {
            break;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((start.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_chunked(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(body);
        }
    }
}

/// A listener whose open connections can be closed or made silent, like those of a host that
/// restarts or is cut off.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    closed: bool,
    connections: Vec<TcpStream>,
}

impl Server {
    /// Serves requests, with a thread for each connection; the handler returns false to close it.
    pub fn start<Handle>(address: SocketAddr, handle: Handle) -> std::io::Result<Server>
    where
        Handle: Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let mut bound = TcpListener::bind(address);
        for _ in 0..40 {
            if bound.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(25));
            bound = TcpListener::bind(address);
        }
        let listener = bound?;
        let address = listener.local_addr()?;
        let open = Arc::new(Mutex::new(State::default()));
        let (state, handle) = (Arc::clone(&open), Arc::new(handle));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                {
                    let mut state = state.lock().unwrap();
                    if state.closed {
                        return;
                    }
                    if let Ok(clone) = stream.try_clone() {
                        state.connections.push(clone);
                    }
                }
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || {
                    let _ = serve(stream, &*handle);
                });
            }
        });
        Ok(Server { address, open })
    }

    /// Ends the listener and all connections, as at the end of the process.
    pub fn stop(&self) {
        let mut state = self.open.lock().unwrap();
        state.closed = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn serve(
    stream: TcpStream,
    handle: &(dyn Fn(Request, &mut TcpStream) -> bool + Send + Sync),
) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (start, headers) = read_head(&mut reader)?;
        let mut words = start.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?.to_owned();
        let chunked = find(&headers, "transfer-encoding").is_some();
        let body = if chunked {
            read_chunked(&mut reader)?
        } else {
            let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            body
        };
        let request = Request {
            method,
            target,
            headers,
            body,
        };
        if !handle(request, &mut writer) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return None;
        }
    }
}

/// Writes a response with a length.
pub fn respond(out: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes).is_ok()
}

pub fn respond_json(out: &mut TcpStream, status: u16, body: &str) -> bool {
    let headers = [("Content-Type", "application/json")];
    respond(out, status, &headers, body.as_bytes())
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a connection of its own; `None` if there is no complete response.
pub fn send(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (start, headers) = read_head(&mut reader)?;
    let status = start.split(' ').nth(1)?.parse().ok()?;
    let body = if find(&headers, "transfer-encoding").is_some() {
        read_chunked(&mut reader)?
    } else if let Some(length) = find(&headers, "content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        body
    } else {
        let mut body = Vec::new();
        reader.read_to_end(&mut body).ok()?;
        body
    };
    Some(Response {
        status,
        headers,
        body,
    })
}
