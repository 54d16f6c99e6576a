//! Encoding of messages between nodes: JSON, which allows added fields in a rolling upgrade,
//! compressed with deflate and a dictionary of strings that most messages repeat.

use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use flate2::{
    Compress,
    Compression,
    Decompress,
    FlushCompress,
    FlushDecompress,
    Status, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use tarpc::tokio_serde::{
    Deserializer,
    Serializer, //
};
use tarpc::tokio_util::bytes::{
    Bytes,
    BytesMut, //
};

/// First byte of each message, which identifies the format and its dictionary. A message of another
/// format is refused.
const FORMAT_VERSION: u8 = 1;

/// Strings that most messages repeat. The most frequent ones are at the end, where references to
/// them are shortest.
const DICTIONARY: &[u8] = include_bytes!("dictionary.json");

/// Largest size of an unpacked message, in bytes.
const UNPACKED_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Step by which the buffer of a message grows while it is unpacked, in bytes.
const UNPACK_STEP_BYTES: usize = 4 * 1_024;

/// Compressor and decompressor of messages. Their state is reset for each message, so that one
/// packer serves all connections of a thread.
struct Packer {
    compress: Compress,
    decompress: Decompress,
}

thread_local! {
    static PACKER: RefCell<Packer> = RefCell::new(Packer {
        compress: Compress::new(Compression::new(4), false),
        decompress: Decompress::new(false),
    });
}

impl Packer {
    fn pack(&mut self, plain: &[u8]) -> io::Result<Vec<u8>> {
        self.compress.reset();
        self.compress
            .set_dictionary(DICTIONARY)
            .map_err(io::Error::other)?;
        let mut packed = Vec::with_capacity(64 + plain.len() / 2);
        packed.push(FORMAT_VERSION);
        loop {
            let consumed = self.compress.total_in() as usize;
            let status = self
                .compress
                .compress_vec(&plain[consumed..], &mut packed, FlushCompress::Finish)
                .map_err(io::Error::other)?;
            if status == Status::StreamEnd {
                return Ok(packed);
            }
            packed.reserve(64 + plain.len() / 4);
        }
    }

    fn unpack(&mut self, packed: &[u8]) -> io::Result<Vec<u8>> {
        let packed = match packed.split_first() {
            Some((&FORMAT_VERSION, packed)) => packed,
            first => {
                let format = first.map(|(format, _)| *format);
                return Err(invalid_message(&format!(
                    "its format is {format:?}, not {FORMAT_VERSION}"
                )));
            }
        };
        self.decompress.reset(false);
        self.decompress
            .set_dictionary(DICTIONARY)
            .map_err(io::Error::other)?;
        let mut plain = Vec::with_capacity(UNPACK_STEP_BYTES.max(packed.len() * 3));
        loop {
            let consumed = self.decompress.total_in() as usize;
            let len_before = plain.len();
            let status = self
                .decompress
                .decompress_vec(&packed[consumed..], &mut plain, FlushDecompress::None)
                .map_err(|error| invalid_message(&error.to_string()))?;
            if status == Status::StreamEnd {
                return Ok(plain);
            }
            let stuck = plain.len() == len_before && plain.capacity() > len_before;
            if stuck || plain.len() > UNPACKED_MAX_BYTES {
                return Err(invalid_message("it has no end"));
            }
            plain.reserve(UNPACK_STEP_BYTES);
        }
    }
}

fn invalid_message(why: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("a message can't be read: {why}"),
    )
}

/// Codec of the messages of one connection: reads `Read` and writes `Written`.
pub(crate) struct PackedJson<Read, Written> {
    messages: PhantomData<(Read, Written)>,
}

impl<Read, Written> Default for PackedJson<Read, Written> {
    fn default() -> Self {
        Self {
            messages: PhantomData,
        }
    }
}

impl<Read, Written: Serialize> Serializer<Written> for PackedJson<Read, Written> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &Written) -> io::Result<Bytes> {
        let plain = serde_json::to_vec(message)?;
        PACKER
            .with_borrow_mut(|packer| packer.pack(&plain))
            .map(Bytes::from)
    }
}

impl<Read: DeserializeOwned, Written> Deserializer<Read> for PackedJson<Read, Written> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, packed: &BytesMut) -> io::Result<Read> {
        let plain = PACKER.with_borrow_mut(|packer| packer.unpack(packed))?;
        Ok(serde_json::from_slice(&plain)?)
    }
}
