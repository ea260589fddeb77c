//! HTTP/1.1 over TCP with a thread per connection: servers for stand-ins and calls of clients.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Handles a request and writes its answer. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Serves a free port of 127.0.0.1 until the process ends.
pub fn serve(handler: Handler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (line, headers) = read_head(&mut reader)?;
        let mut words = line.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let body = read_body(&mut reader, &headers, false)?;
        let request = Request { method, path, headers, body };
        if !handler(&request, &mut writer).ok()? {
            return None;
        }
    }
}

/// The first line and the headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) if line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], until_close: bool) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(body);
            }
        }
    }
    match header(headers, "content-length") {
        Some(length) => {
            body.resize(length.parse().ok()?, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None if until_close => drop(reader.read_to_end(&mut body).ok()?),
        None => {}
    }
    Some(body)
}

/// Writes an answer with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// Encodes a request.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection. `None` if there is no whole answer within `limit` after the last byte received.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(&request_bytes(method, path, headers, body)).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers, true)?;
    Some(Response { status, body })
}
