//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a number of the query of a request.
    pub fn query(&self, name: &str) -> Option<u64> {
        let pairs = self.target().split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A response to be sent.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a response without headers and body.
    pub fn status(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// Returns a JSON response.
    pub fn json(body: String) -> Self {
        Self::status(200).with("Content-Type", "application/json").body(body.into_bytes())
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    fn write(&self, stream: &mut impl io::Write) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        stream.write_all(&[head.as_bytes(), &self.body].concat())
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        _ => "Status",
    }
}

/// Reads a message, `None` at the regular end of the connection.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            let is_end = message.first.is_empty();
            return if is_end { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        message.body = read_chunks(stream)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = vec![];
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim_end(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Serves requests on an address, each connection in a thread of its own.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> Result<(), String> {
    let listener = TcpListener::bind(addr).map_err(|error| format!("{addr}: {error}"))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Message) -> Reply) {
    let Ok(mut writer) = stream.try_clone() else { return };
    // Without it small answers wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if handle(&request).write(&mut writer).is_err() {
            return;
        }
    }
}

/// A caller's connection that is kept open.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Connects to an address.
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?)
    }

    /// Sends the bytes of a request and reads one response.
    pub fn exchange(&mut self, request: &str) -> io::Result<Message> {
        self.send(request.as_bytes())?;
        self.receive()
    }

    /// Sends bytes of a request.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one response.
    pub fn receive(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
