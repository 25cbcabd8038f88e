//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads one request; an error at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let _method = words.next();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
    let is_chunked = find(&headers, "transfer-encoding").is_some();
    let mut body = Vec::new();
    match length {
        _ if is_chunked => read_chunks(reader, |data| body.extend_from_slice(data))?,
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None => {}
    }
    Ok(Request {
        target,
        headers,
        body,
    })
}

fn read_chunks(reader: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut data = vec![0; size];
        reader.read_exact(&mut data)?;
        take(&data);
        if size == 0 {
            read_headers(reader)?;
            return Ok(());
        }
        read_line(reader)?;
    }
}

/// What a caller got for one request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A caller's connection, which is kept between requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the answer; an error if there is no whole head in time.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        limit: Duration,
    ) -> io::Result<Answer> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        stream.write_all(&message)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        let mut body = Vec::new();
        let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
        let is_chunked = find(&headers, "transfer-encoding").is_some();
        let read = match length {
            _ if is_chunked => read_chunks(&mut self.reader, |data| body.extend_from_slice(data)),
            Some(length) => {
                let mut taken = (&mut self.reader).take(length);
                let read = taken.read_to_end(&mut body).map(|_| ());
                match body.len() as u64 == length {
                    true => read,
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                }
            }
            None => self.reader.read_to_end(&mut body).map(|_| ()),
        };
        Ok(Answer {
            status,
            headers,
            body,
            is_complete: read.is_ok(),
        })
    }
}

/// Writes an answer with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
