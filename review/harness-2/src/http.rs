//! Blocking HTTP/1.1 with keep-alive, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request or an answer: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        percent_decode(value.map_or("", |(_, value)| value))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.extend(u8::from_str_radix(&digits, 16).ok());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads one message. A body needs a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|length| length.parse::<usize>().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Ok(message)
}

/// An answer with a body of known length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    answer(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

/// Returns the bytes to answer a request with; none to close the connection without an answer.
pub type Handler = Arc<dyn Fn(Message) -> Option<Vec<u8>> + Send + Sync>;

/// Serves on a port of its own until the process ends.
pub fn serve(handler: Handler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(addr)
}

pub fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_message(&mut reader) {
        let Some(bytes) = handler(request) else {
            return;
        };
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}
