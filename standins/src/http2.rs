//! Bytes of HTTP/2 clients that send many requests on one connection, whatever the server allows.

/// What every HTTP/2 connection begins with.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Largest frame that any server takes, in bytes.
const MAX_FRAME: usize = 16 << 10;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Setting of the bytes that the server may send on a stream before the client takes them.
const INITIAL_WINDOW_SIZE: u16 = 4;

/// Returns the beginning of a connection whose client takes `window` bytes of each answer.
#[must_use]
pub fn open(window: u32) -> Vec<u8> {
    let mut setting = INITIAL_WINDOW_SIZE.to_be_bytes().to_vec();
    setting.extend(window.to_be_bytes());
    [PREFACE, &frame(SETTINGS, 0, 0, &setting)].concat()
}

/// Returns the request with index `index` of its connection.
#[must_use]
pub fn request(
    index: u32,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let stream = 2 * index + 1;
    let pseudo = [
        (":method", method),
        (":scheme", "http"),
        (":authority", "entry"),
        (":path", path),
    ];
    let block: Vec<u8> = pseudo
        .iter()
        .chain(headers)
        .flat_map(|(k, v)| literal(k, v))
        .collect();
    let end = if body.is_empty() { END_STREAM } else { 0 };
    let mut frames = frame(HEADERS, END_HEADERS | end, stream, &block);
    let mut chunks = body.as_bytes().chunks(MAX_FRAME).peekable();
    while let Some(chunk) = chunks.next() {
        let end = if chunks.peek().is_none() {
            END_STREAM
        } else {
            0
        };
        frames.extend(frame(DATA, end, stream, chunk));
    }
    frames
}

/// Returns a header that no later one refers to; names and values are shorter than 127 bytes.
fn literal(name: &str, value: &str) -> Vec<u8> {
    let text = |text: &str| [&[u8::try_from(text.len()).unwrap_or(0)], text.as_bytes()].concat();
    [vec![0], text(name), text(value)].concat()
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap_or(0).to_be_bytes();
    [&len[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}
