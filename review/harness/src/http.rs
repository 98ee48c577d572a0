//! The part of HTTP/1.1 that the stand-ins and clients use.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// A value in the query, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name);
        percent_decode(value.map_or("", |(_, value)| value))
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Reads a head. `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(broken("the head is not complete")),
            };
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let (name, value) = (name.to_owned(), value.trim().to_owned());
            message.headers.push((name, value));
        }
    }
}

/// Reads the body that follows a head.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let length = message.header("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the body is not complete"));
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk"))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        chunk.truncate(length);
        if length == 0 {
            return Ok(());
        }
        message.body.extend(chunk);
    }
}

/// Reads a whole message. `None` if the connection ended before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}
