//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Why no complete message was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended before the first byte.
    Closed,
    /// The connection ended or failed within the message.
    Cut(String),
    /// Nothing arrived in time.
    Timeout,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    pub socket: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(socket: TcpStream) -> std::io::Result<Self> {
        socket.set_nodelay(true)?;
        let reader = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?)
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write_all(bytes)
    }

    fn failure(error: &std::io::Error, begun: bool) -> Failure {
        match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Failure::Timeout,
            _ if begun => Failure::Cut(error.to_string()),
            _ => Failure::Cut(error.to_string()),
        }
    }

    fn line(&mut self, begun: bool) -> Result<String, Failure> {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(0) if begun => Err(Failure::Cut("end of the connection".to_owned())),
            Ok(0) => Err(Failure::Closed),
            Ok(_) => Ok(String::from_utf8_lossy(&line).trim_end().to_owned()),
            Err(error) => Err(Self::failure(&error, begun)),
        }
    }

    fn exact(&mut self, length: usize) -> Result<Vec<u8>, Failure> {
        let mut bytes = vec![0; length];
        self.reader
            .read_exact(&mut bytes)
            .map_err(|error| Self::failure(&error, true))?;
        Ok(bytes)
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Result<Message, Failure> {
        let mut message = Message {
            start: self.line(false)?,
            ..Message::default()
        };
        loop {
            let line = self.line(true)?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a message with its body, which has a length or chunks.
    pub fn message(&mut self) -> Result<Message, Failure> {
        let mut message = self.head()?;
        if message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
        {
            loop {
                let size = self.line(true)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|error| Failure::Cut(error.to_string()))?;
                if size == 0 {
                    self.line(true)?;
                    return Ok(message);
                }
                let chunk = self.exact(size)?;
                message.body.extend_from_slice(&chunk);
                self.line(true)?;
            }
        }
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        message.body = self.exact(length)?;
        Ok(message)
    }
}
