//! HTTP/1.1 over blocking sockets: as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A head: its first line and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| &**value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn method(&self) -> &str {
        self.head.word(0)
    }

    pub fn path(&self) -> &str {
        self.head.word(1).split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.head.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first == b'%' && tail.len() >= 2 {
            let code = std::str::from_utf8(&tail[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with what was read and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Reads more; false at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<_>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body that has a length or comes in chunks; `None` if it has neither.
    pub fn read_body(&mut self, head: &Head, seen: &mut Vec<u8>) -> io::Result<Option<()>> {
        if head
            .get("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"))
        {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size =
                    usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(Some(()));
                }
                let part = self.read_exact(size)?;
                seen.extend_from_slice(&part);
                self.read_exact(2)?;
            }
        }
        match head
            .get("content-length")
            .and_then(|length| length.parse().ok())
        {
            Some(length) => {
                seen.extend(self.read_exact(length)?);
                Ok(Some(()))
            }
            None => Ok(None),
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let mut body = Vec::new();
        self.read_body(&head, &mut body)?;
        Ok(Some(Request { head, body }))
    }

    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// What a client saw of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the response ended as it should.
    pub whole: bool,
    pub error: String,
}

/// Sends a request on a connection and reads its response.
pub fn exchange(connection: &mut Connection, request: &[u8], limit: Duration) -> Seen {
    let mut seen = Seen::default();
    let until = Instant::now() + limit;
    let _ = connection.stream.set_read_timeout(Some(limit));
    if let Err(error) = connection.stream.write_all(request) {
        seen.error = format!("write: {error}");
    }
    match connection.read_head() {
        Ok(Some(head)) => {
            seen.status = head.word(1).parse().unwrap_or(0);
            seen.head = head;
        }
        Ok(None) => {
            seen.error = "closed".to_owned();
            return seen;
        }
        Err(error) => {
            seen.error = format!("read: {error}");
            return seen;
        }
    }
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let head = seen.head.clone();
    let mut body = Vec::new();
    match connection.read_body(&head, &mut body) {
        Ok(Some(())) => seen.whole = true,
        Ok(None) => seen.error = "no length".to_owned(),
        Err(error) => seen.error = format!("body: {error}"),
    }
    seen.body = body;
    seen
}
