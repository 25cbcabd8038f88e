//! A stand-in of a plain engine, which runs as a process of its own.
//!
//! It prints a line for each request that reaches it and for each run, and takes the word
//! `leaving` on its standard input, from which on all its answers say so.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Request, find, read_request, respond};

/// Number of events of a stream, and pause between two of them.
pub const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Pause between the two halves of a plain answer.
const HALF_PAUSE: Duration = Duration::from_millis(15);
/// One run in so many has an answer without a length, on engines that have such answers.
const UNFRAMED_EVERY: u64 = 20;

/// Returns the whole body of the plain answer to a request.
pub fn plain_body(id: &str) -> String {
    format!("receipt of {id}: {}", "0123456789".repeat(80))
}

/// Returns the text of one event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} piece {number}\n\n")
}

/// Returns the whole body of a stream.
pub fn stream_body(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

#[derive(Debug)]
struct Engine {
    id: String,
    /// Whether one answer in twenty has neither a length nor chunks.
    is_sometimes_unframed: bool,
    is_leaving: AtomicBool,
    runs: AtomicU64,
}

/// Runs an engine until its standard input ends.
pub fn run(id: &str, address: SocketAddr, traits: &str) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        is_sometimes_unframed: traits == "unframed",
        is_leaving: AtomicBool::new(false),
        runs: AtomicU64::new(0),
    });
    print(&format!("listening {}", listener.local_addr()?));
    let served = engine.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = served.clone();
            thread::spawn(move || engine.serve(stream));
        }
    });
    for line in io::stdin().lock().lines() {
        if line? == "leaving" {
            engine.is_leaving.store(true, Ordering::SeqCst);
            print("leaving");
        }
    }
    Ok(())
}

fn print(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            match self.answer(&request, &mut writer) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Answers a request; returns whether the connection is kept.
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request
            .header("x-jackdawwick-attempt-id")
            .unwrap_or_default();
        let expected = request.header("x-jackdawwick-target-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Jackdawwick-Not-Executed", "1"),
                ("X-Jackdawwick-Instance-Id", &self.id),
            ];
            return respond(stream, 421, &headers, b"").map(|()| true);
        }
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        if request.path() == "/health" {
            let status = if is_leaving { 503 } else { 200 };
            let headers = [("X-Jackdawwick-Instance-Id", self.id.as_str())];
            return respond(stream, status, &headers, b"").map(|()| true);
        }
        print(&format!("reached {id}"));
        let run = self.runs.fetch_add(1, Ordering::SeqCst);
        let is_unframed = self.is_sometimes_unframed && run % UNFRAMED_EVERY == UNFRAMED_EVERY / 2;
        let seal = format!("{}.{run}", self.id);
        let mut head = vec![
            ("X-Jackdawwick-Attempt-Id", id),
            ("X-Jackdawwick-Server-Seal", seal.as_str()),
        ];
        if is_leaving {
            head.push(("Server-Leaving", "1"));
        }
        let is_stream = request.path().starts_with("/stream");
        if is_stream {
            head.push(("Content-Type", "text/event-stream"));
        }
        print(&match is_unframed {
            true => format!("runs {id}, answer without a length"),
            false => format!("runs {id}"),
        });
        let last = find(&request.headers, "last-event-id").and_then(|last| last.parse().ok());
        let pieces = match is_stream {
            true => (last.unwrap_or(0) + 1..=EVENTS)
                .map(|number| (event(id, number), EVENT_PAUSE))
                .collect(),
            false => {
                let body = plain_body(id);
                let (first, second) = body.split_at(body.len() / 2);
                vec![
                    (first.to_owned(), HALF_PAUSE),
                    (second.to_owned(), HALF_PAUSE),
                ]
            }
        };
        send(&head, &pieces, is_unframed, stream)?;
        print(&format!("ended {id}"));
        Ok(!is_unframed)
    }
}

fn send(
    head: &[(&str, &str)],
    pieces: &[(String, Duration)],
    is_unframed: bool,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
    for (name, value) in head {
        text += &format!("{name}: {value}\r\n");
    }
    match is_unframed {
        true => text += "Connection: close\r\n",
        false => text += "Transfer-Encoding: chunked\r\n",
    }
    stream.write_all((text + "\r\n").as_bytes())?;
    for (piece, pause) in pieces {
        match is_unframed {
            true => stream.write_all(piece.as_bytes())?,
            false => {
                stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?;
            }
        }
        thread::sleep(*pause);
    }
    match is_unframed {
        true => Ok(()),
        false => stream.write_all(b"0\r\n\r\n"),
    }
}
