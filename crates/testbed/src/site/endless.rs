//! Answers of a faulty back end that go on without end.

use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;

/// Smallest number of bytes that are written at once.
const WRITE_MIN_BYTES: usize = 64 * 1_024;

/// Place in an answer from which bytes without end follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Interim answers before the answer.
    Interim,
    /// The reason in the status line.
    StatusLine,
    /// Header lines.
    Headers,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailer lines after the last chunk.
    Trailer,
    /// Chunks of the body.
    Chunks,
    /// A body without a length.
    UnframedBody,
    /// A body whose length is beyond any limit.
    LongBody,
    /// The bytes after a whole answer.
    AfterAnswer,
}

/// All places.
pub const ENDLESS_PARTS: [EndlessPart; 10] = [
    EndlessPart::Interim,
    EndlessPart::StatusLine,
    EndlessPart::Headers,
    EndlessPart::ChunkSize,
    EndlessPart::ChunkExtension,
    EndlessPart::Trailer,
    EndlessPart::Chunks,
    EndlessPart::UnframedBody,
    EndlessPart::LongBody,
    EndlessPart::AfterAnswer,
];

impl EndlessPart {
    /// Returns how the answer begins, and what repeats without end. `answer` is the sound one.
    fn texts(self, answer: &str) -> (String, &'static str) {
        let (head, _) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
        let mut lines = Vec::new();
        for line in head.lines() {
            if !line.to_ascii_lowercase().starts_with("content-length:") {
                lines.push(line);
            }
        }
        let open_head = format!("{}\r\n", lines.join("\r\n"));
        let chunked = format!("{open_head}transfer-encoding: chunked\r\n\r\n");
        match self {
            EndlessPart::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"),
            EndlessPart::StatusLine => ("HTTP/1.1 200 ".to_owned(), "O"),
            EndlessPart::Headers => (open_head, "a: b\r\n"),
            EndlessPart::ChunkSize => (chunked, "0"),
            EndlessPart::ChunkExtension => (format!("{chunked}1;a="), "b"),
            EndlessPart::Trailer => (format!("{chunked}0\r\n"), "a: b\r\n"),
            EndlessPart::Chunks => (chunked, "10\r\n0123456789abcdef\r\n"),
            EndlessPart::UnframedBody => (format!("{open_head}\r\n"), "x"),
            EndlessPart::LongBody => {
                let length = "content-length: 999999999999\r\n\r\n";
                (format!("{open_head}{length}"), "x")
            }
            EndlessPart::AfterAnswer => (answer.to_owned(), "x"),
        }
    }

    /// Writes the answer until the connection closes.
    pub(super) async fn write(self, out: &mut WriteHalf<'_>, answer: &[u8]) {
        let answer = String::from_utf8_lossy(answer);
        let (begin, repeated) = self.texts(&answer);
        let block = repeated.repeat(WRITE_MIN_BYTES / repeated.len() + 1);
        let mut is_open = out.write_all(begin.as_bytes()).await.is_ok();
        while is_open {
            is_open = out.write_all(block.as_bytes()).await.is_ok();
        }
    }
}
